#pragma once

#include "base/Counters.h"
#include "base/Time.h"
#include "message/RelayHeader.h"

#include <compare>
#include <cstdint>
#include <map>

namespace bulrushgap {

/** \brief Admits each relayed packet once and only for the boot that it was sent to. */
class RelayGuard
{
public:
    /** \param ownBoot boot id of this instance
     *  \param memory how long a relay id is remembered; longer than any request's deadline
     */
    RelayGuard(std::uint64_t ownBoot, Duration memory, Counters &counters);

    /** \returns whether the packet may be handled; counts the reason if not. */
    [[nodiscard]] bool admit(const RelayHeader &header, TimePoint now);

    /** \brief Forgets relay ids older than the memory. */
    void tick(TimePoint now);

    [[nodiscard]] std::size_t size() const { return this->seen.size(); }

private:
    struct RelayKey
    {
        InstanceId sender;
        std::uint64_t senderBoot = 0;
        std::uint64_t relayId = 0;

        friend auto operator<=>(const RelayKey &, const RelayKey &) = default;
    };

    std::uint64_t ownBoot;
    Duration memory;
    Counters &counters;
    std::map<RelayKey, TimePoint> seen;
};

} // namespace bulrushgap
