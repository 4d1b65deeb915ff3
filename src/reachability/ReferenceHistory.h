#pragma once

#include "base/Time.h"
#include "directory/Upstream.h"

#include <vector>

namespace bulrushgap::balance {

/** \brief Recent probes that connected at once, the references for probes without an answer.
 *
 * A probe without an answer says something of its target only if this instance was connected at the
 * same time. A reference that started earlier or later says nothing of that time, nor does one that
 * connected slowly: the link of this instance may be congested, and lose other connections.
 */
class ReferenceHistory
{
public:
    /** \brief Records a probe that connected. */
    void add(DomainIndex domain, TimePoint startedAt, TimePoint now);

    /** \returns whether a reference started at about the same time. */
    [[nodiscard]] bool hasNear(TimePoint startedAt) const;

    /** \returns whether a reference in another domain started at about the same time. */
    [[nodiscard]] bool hasNearOutside(DomainIndex domain, TimePoint startedAt) const;

private:
    struct Reference
    {
        DomainIndex domain = 0;
        TimePoint startedAt{};
    };

    std::vector<Reference> references; //!< Of the last second.
};

} // namespace bulrushgap::balance
