#pragma once

#include "message/RelayHeader.h"
#include "wire/Bytes.h"

#include <optional>
#include <span>

namespace bulrushgap {

struct RelayedDatagram
{
    RelayHeader header;
    std::span<const std::byte> payload; //!< The relayed datagram, inside the outer one.
};

/** \brief Relay header (FlatBuffers) in front of a datagram that one instance relays to another.
 *
 * Layout: magic byte, size of the header in one byte, header, payload.
 */
class RelayCodec
{
public:
    /** \returns whether the datagram starts like a relay; a PROXY header never does. */
    [[nodiscard]] static bool isRelay(std::span<const std::byte> datagram);

    [[nodiscard]] static Bytes encode(const RelayHeader &header,
                                      std::span<const std::byte> payload);

    /** \returns header and payload, or nothing if the header is malformed or out of range. */
    [[nodiscard]] static std::optional<RelayedDatagram> decode(std::span<const std::byte> datagram);
};

} // namespace bulrushgap
