#pragma once

#include "base/Endpoint.h"
#include "wire/Bytes.h"

#include <cstddef>
#include <optional>
#include <span>

namespace bulrushgap {

struct ProxiedDatagram;

/** \brief PROXY protocol version 2 header: command PROXY, DGRAM over IPv4. */
struct ProxyHeader
{
    Endpoint source;
    Endpoint destination;

    /** \brief Size in bytes without TLVs. */
    static constexpr std::size_t encodedSize = 28;

    friend bool operator==(const ProxyHeader &, const ProxyHeader &) = default;

    /** \brief Appends the header without TLVs to \a target. */
    void appendTo(Bytes &target) const;

    /** \returns header and payload, or nothing if the header is malformed or of another kind.
     *
     * TLVs are skipped, but have to fill the announced length exactly.
     */
    [[nodiscard]] static std::optional<ProxiedDatagram> decode(std::span<const std::byte> datagram);
};

struct ProxiedDatagram
{
    ProxyHeader header;
    std::span<const std::byte> payload; //!< What follows the header, inside the datagram.
};

} // namespace bulrushgap
