#include "admission/OwnerTable.h"

#include <algorithm>

namespace bulrushgap {

namespace internal {

std::optional<InstanceId> rendezvousOwner(const Plan &plan, const PlanUpstream &upstream,
                                          const KeyedHash &hash)
{
    std::optional<InstanceId> owner;
    std::uint64_t best = 0;
    for (const PlanInstance &instance : plan.instances) {
        if (instance.leaving || instance.domain != upstream.domain)
            continue;
        const std::uint64_t rank = hash(upstream.id.value, instance.id.value);
        if (owner && rank <= best)
            continue;
        owner = instance.id;
        best = rank;
    }
    return owner;
}

} // namespace internal

bool takesRequests(const Plan &plan, const PlanUpstream &upstream)
{
    const PlanDomain *domain = plan.domain(upstream.domain);
    return domain && !domain->out && upstream.state == UpstreamState::Active && upstream.weight > 0
           && upstream.slots > 0;
}

OwnerTable::OwnerTable(const Plan &plan, const KeyedHash &hash)
{
    for (const PlanService &service : plan.services) {
        std::map<InstanceId, std::uint32_t> shares;
        for (const PlanUpstream &upstream : service.upstreams) {
            const auto owner = internal::rendezvousOwner(plan, upstream, hash);
            this->ownerOf[upstream.id] = owner;
            if (owner && takesRequests(plan, upstream))
                shares[*owner] += std::uint32_t{upstream.slots} * upstream.weight;
        }
        std::vector<OwnerSlots> &owners = this->ownersOf[service.id];
        for (const auto &[instance, share] : shares)
            owners.push_back({instance, share});
    }
}

std::optional<InstanceId> OwnerTable::owner(UpstreamId upstream) const
{
    const auto found = this->ownerOf.find(upstream);
    return found == this->ownerOf.end() ? std::nullopt : found->second;
}

std::span<const OwnerSlots> OwnerTable::owners(ServiceId service) const
{
    const auto found = this->ownersOf.find(service);
    return found == this->ownersOf.end() ? std::span<const OwnerSlots>{}
                                         : std::span<const OwnerSlots>(found->second);
}

} // namespace bulrushgap
