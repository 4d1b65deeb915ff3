#pragma once

#include "admission/OwnerTable.h"
#include "base/Time.h"
#include "message/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace bulrushgap {

/** \brief Free slots that peers advertised, less the requests relayed to them since. */
class PeerSlots
{
public:
    explicit PeerSlots(Duration lifetime)
        : lifetime(lifetime)
    {}

    void update(InstanceId peer, std::span<const FreeSlots> slots, TimePoint now);
    void forget(InstanceId peer) { this->peers.erase(peer); }

    /** \brief Takes a slot of the better of two random \a owners with advertised free slots.
     * \returns the peer, or nothing if none has any. */
    [[nodiscard]] std::optional<InstanceId>
    takeSlot(ServiceId service, std::span<const OwnerSlots> owners, TimePoint now, Random &random);

    /** \returns whether the peer has advertised anything lately. */
    [[nodiscard]] bool alive(InstanceId peer, TimePoint now) const;

private:
    struct Peer
    {
        TimePoint updatedAt;
        std::map<ServiceId, std::uint16_t> free;
    };

    [[nodiscard]] std::uint16_t *freeOf(InstanceId peer, ServiceId service, TimePoint now);

    Duration lifetime;
    std::map<InstanceId, Peer> peers;
};

} // namespace bulrushgap
