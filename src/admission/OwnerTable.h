#pragma once

#include "base/Ids.h"
#include "base/KeyedHash.h"
#include "plan/Plan.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrushgap {

struct OwnerSlots
{
    InstanceId instance;
    std::uint32_t share = 0; //!< Slots times weight of the upstreams that take requests.
};

/** \returns whether \a upstream takes requests under \a plan, other than probes. */
[[nodiscard]] bool takesRequests(const Plan &plan, const PlanUpstream &upstream);

/** \brief Admission owners of all upstreams: a pure function of a plan.
 *
 * The owner is the first instance in rendezvous order in the upstream's failure domain that is
 * not leaving. It does not depend on the state of the upstream, so that ownership moves less.
 */
class OwnerTable
{
public:
    OwnerTable() = default;
    OwnerTable(const Plan &plan, const KeyedHash &hash);

    /** \returns the owner, or nothing if the failure domain has no instance. */
    [[nodiscard]] std::optional<InstanceId> owner(UpstreamId upstream) const;

    /** \returns whether the plan contains the upstream. */
    [[nodiscard]] bool contains(UpstreamId upstream) const
    {
        return this->ownerOf.contains(upstream);
    }

    /** \returns the instances that own slots of the service. */
    [[nodiscard]] std::span<const OwnerSlots> owners(ServiceId service) const;

private:
    std::map<UpstreamId, std::optional<InstanceId>> ownerOf;
    std::map<ServiceId, std::vector<OwnerSlots>> ownersOf;
};

} // namespace bulrushgap
