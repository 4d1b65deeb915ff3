#include "engine/RelayGuard.h"

namespace bulrushgap {

RelayGuard::RelayGuard(std::uint64_t ownBoot, Duration memory, Counters &counters)
    : ownBoot(ownBoot)
    , memory(memory)
    , counters(counters)
{}

bool RelayGuard::admit(const RelayHeader &header, TimePoint now)
{
    if (header.hops > maximalRelayHops) {
        this->counters.refuse(RefusalReason::HopLimit);
        return false;
    }
    if (header.receiverBoot != 0 && header.receiverBoot != this->ownBoot) {
        this->counters.refuse(RefusalReason::StaleRelay);
        return false;
    }
    // Only requests that are relayed for admission can run twice; other kinds are idempotent here.
    if (header.kind != RelayKind::Admission)
        return true;
    const RelayKey key{header.sender, header.senderBoot, header.relayId};
    if (!this->seen.emplace(key, now).second) {
        this->counters.refuse(RefusalReason::DuplicateRelay);
        return false;
    }
    return true;
}

void RelayGuard::tick(TimePoint now)
{
    std::erase_if(this->seen, [&](const auto &entry) { return now - entry.second > this->memory; });
}

} // namespace bulrushgap
