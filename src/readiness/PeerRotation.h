#pragma once

#include "base/Endpoint.h"
#include "view/Member.h"

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::balance {

/** \brief Selects instances of other failure domains in turn.
 *
 * Different instances start at different positions, so that not all select the same ones.
 */
class PeerRotation
{
public:
    explicit PeerRotation(const Member &self);

    /** \returns whether there is an instance of another domain. */
    [[nodiscard]] bool hasPeer(std::span<const Member> instances) const;

    /** \returns up to \a perDomain instances of each other domain; the next call continues with
     * the ones after them. */
    [[nodiscard]] std::vector<Endpoint> next(std::span<const Member> instances,
                                             std::size_t perDomain);

private:
    std::string domain;
    std::size_t offset; //!< Position of the first instance of the next selection.
};

} // namespace bulrushgap::balance
