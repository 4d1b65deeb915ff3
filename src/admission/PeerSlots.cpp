#include "admission/PeerSlots.h"

#include <utility>
#include <vector>

namespace bulrushgap {

void PeerSlots::update(InstanceId peer, std::span<const FreeSlots> slots, TimePoint now)
{
    Peer &entry = this->peers[peer];
    entry.updatedAt = now;
    entry.free.clear();
    for (const FreeSlots &free : slots)
        entry.free[free.service] = free.count;
}

std::optional<InstanceId> PeerSlots::takeSlot(ServiceId service, std::span<const OwnerSlots> owners,
                                              TimePoint now, Random &random)
{
    std::vector<std::pair<InstanceId, std::uint16_t *>> candidates;
    for (const OwnerSlots &owner : owners) {
        std::uint16_t *free = this->freeOf(owner.instance, service, now);
        if (free && *free > 0)
            candidates.emplace_back(owner.instance, free);
    }
    if (candidates.empty())
        return std::nullopt;
    std::uniform_int_distribution<std::size_t> pick(0, candidates.size() - 1);
    const auto first = candidates[pick(random)];
    const auto second = candidates[pick(random)];
    const auto &chosen = *second.second > *first.second ? second : first;
    --*chosen.second;
    return chosen.first;
}

bool PeerSlots::alive(InstanceId peer, TimePoint now) const
{
    const auto found = this->peers.find(peer);
    return found != this->peers.end() && now - found->second.updatedAt <= this->lifetime;
}

std::uint16_t *PeerSlots::freeOf(InstanceId peer, ServiceId service, TimePoint now)
{
    if (!this->alive(peer, now))
        return nullptr;
    auto &free = this->peers.find(peer)->second.free;
    const auto found = free.find(service);
    return found == free.end() ? nullptr : &found->second;
}

} // namespace bulrushgap
