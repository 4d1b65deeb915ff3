#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "message/PeerMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Limits of one connection between two instances. */
struct PeerLinkSettings
{
    Duration handshakeLimit = std::chrono::seconds(2); //!< Until the peer's Hello.
    /** Silence after which a connection is closed; heartbeats come four times as often. */
    Duration idleLimit = std::chrono::seconds(2);
    std::size_t queueLimit = std::size_t{512} * 1024; //!< Bytes that wait, for each priority.
    /** Bytes of the budget that only heartbeats and plans may take. */
    std::size_t priorityReserve = std::size_t{8} * 1024;
};

struct PeerMeshSettings
{
    Endpoint listen;             //!< Port 0 picks a free port.
    Hello self;                  //!< An empty peerAddress is replaced by the one listened on.
    std::vector<Endpoint> seeds; //!< Dialled at all times.
    PeerLinkSettings link;
    std::uint64_t bytesPerSecond = 6000;
    std::uint64_t burst = std::uint64_t{128} * 1024;
    Duration dialDelay = std::chrono::milliseconds(100); //!< First delay; doubles per failure.
    Duration dialDelayLimit = std::chrono::seconds(5);
    Duration connectLimit = std::chrono::seconds(2);
    std::size_t handshakes = 64; //!< Connections without a Hello at any time.
};

/** \brief Events of a mesh; called from its io_context. A hook must not destroy the mesh. */
struct PeerMeshHooks
{
    /** Messages that were under way on an earlier connection to the peer may be lost. */
    std::function<void(const Hello &)> onPeerUp;
    std::function<void(std::string_view name)> onPeerDown;
    std::function<void(std::string_view name, PeerMessage message)> onMessage;
    std::function<bool(const Hello &)> acceptHello; //!< False refuses the peer.
};

} // namespace bulrushgap
