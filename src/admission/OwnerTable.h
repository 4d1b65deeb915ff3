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
    std::uint32_t share = 0; //!< Sum of slots times weight of its upstreams that take requests.
};

/** \returns whether requests other than probes may be sent to \a upstream under \a plan. */
[[nodiscard]] bool takesRequests(const Plan &plan, const PlanUpstream &upstream);

/** \brief Owner of each upstream, which admits its requests; computed from the plan alone.
 *
 * The owner is the first instance in rendezvous order in the upstream's failure domain that is
 * not leaving. The state of the upstream has no influence, so that owners change less often.
 */
class OwnerTable
{
public:
    OwnerTable() = default;
    OwnerTable(const Plan &plan, const KeyedHash &hash);

    /** \returns the owner, or nothing if the failure domain has no eligible instance. */
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
