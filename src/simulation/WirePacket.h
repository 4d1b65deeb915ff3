#pragma once

#include "base/Endpoint.h"
#include "wire/Bytes.h"

#include <cstdint>
#include <optional>
#include <span>

namespace bulrushgap::simulation {

/** \brief A packet of a flow as callers and upstreams write it; the published format. */
struct WirePacket
{
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t echo = 0; //!< Set by the load balancer in a SYN, returned by both ends.
    std::uint32_t seal = 0; //!< Keyed sum over all fields but the echo.
    bool syn = false;
    bool ack = false;
    bool fin = false;
    bool rst = false;
    Bytes data;

    /** \returns whether the sender's end wrote the packet so. */
    [[nodiscard]] bool isSealed() const { return this->seal == this->expectedSeal(); }

    [[nodiscard]] std::uint32_t expectedSeal() const;

    /** \returns the number of its bytes. */
    [[nodiscard]] std::size_t size() const;

    /** \brief Seals the packet. \returns its bytes. */
    [[nodiscard]] Bytes toBytes();

    /** \returns the packet, or nothing if the datagram is malformed. */
    [[nodiscard]] static std::optional<WirePacket> parse(std::span<const std::byte> datagram);
};

/** \brief Most data bytes of a packet. */
constexpr std::size_t packetDataBytes = 1'200;

} // namespace bulrushgap::simulation
