#include "engine/RelayFilter.h"

namespace bulrushgap {

RelayFilter::RelayFilter(std::uint64_t ownBoot, Duration retention, Counters &counters)
    : ownBoot(ownBoot)
    , retention(retention)
    , counters(counters)
{}

bool RelayFilter::admit(const RelayHeader &header, TimePoint now)
{
    if (header.hops > maximalRelayHops) {
        this->counters.refuse(RefusalReason::HopLimit);
        return false;
    }
    if (header.receiverBoot != 0 && header.receiverBoot != this->ownBoot) {
        this->counters.refuse(RefusalReason::StaleRelay);
        return false;
    }
    // Only requests relayed for admission could run twice; handling the other kinds is idempotent.
    if (header.kind != RelayKind::Admission)
        return true;
    const RelayKey key{header.sender, header.senderBoot, header.relayId};
    if (!this->seenRelays.emplace(key, now).second) {
        this->counters.refuse(RefusalReason::DuplicateRelay);
        return false;
    }
    return true;
}

void RelayFilter::tick(TimePoint now)
{
    std::erase_if(this->seenRelays,
                  [&](const auto &entry) { return now - entry.second > this->retention; });
}

} // namespace bulrushgap
