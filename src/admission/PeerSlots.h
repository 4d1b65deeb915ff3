#pragma once

#include "admission/OwnerTable.h"
#include "base/Time.h"
#include "message/PeerMessage.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>

namespace bulrushgap {

/** \brief Free slots advertised by peers, minus the requests relayed to them since. */
class PeerSlots
{
public:
    explicit PeerSlots(Duration lifetime)
        : lifetime(lifetime)
    {}

    void update(InstanceId peer, std::span<const FreeSlots> slots, TimePoint now);
    void forget(InstanceId peer) { this->peers.erase(peer); }

    /** \brief Takes a slot from one of \a owners with free slots, by power of two random choices.
     * \returns the peer, or nothing if none has a free slot. */
    [[nodiscard]] std::optional<InstanceId>
    takeSlot(ServiceId service, std::span<const OwnerSlots> owners, TimePoint now, Random &random);

    /** \returns whether the peer has advertised slots within the lifetime. */
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
