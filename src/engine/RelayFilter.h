#pragma once

#include "base/Counters.h"
#include "base/Time.h"
#include "message/RelayHeader.h"

#include <compare>
#include <cstdint>
#include <map>

namespace bulrushgap {

/** \brief Drops relayed packets that are duplicates, addressed to another boot or relayed too
 * often.
 */
class RelayFilter
{
public:
    /** \param ownBoot boot id of this instance
     *  \param retention how long relay ids are kept; must exceed the longest deadline of a request
     */
    RelayFilter(std::uint64_t ownBoot, Duration retention, Counters &counters);

    /** \returns whether to handle the packet; counts the reason if not. */
    [[nodiscard]] bool admit(const RelayHeader &header, TimePoint now);

    /** \brief Removes expired relay ids. */
    void tick(TimePoint now);

    [[nodiscard]] std::size_t size() const { return this->seenRelays.size(); }

private:
    struct RelayKey
    {
        InstanceId sender;
        std::uint64_t senderBoot = 0;
        std::uint64_t relayId = 0;

        friend auto operator<=>(const RelayKey &, const RelayKey &) = default;
    };

    std::uint64_t ownBoot;
    Duration retention;
    Counters &counters;
    std::map<RelayKey, TimePoint> seenRelays;
};

} // namespace bulrushgap
