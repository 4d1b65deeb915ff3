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

    /** \brief Size in bytes of a header without TLVs. */
    static constexpr std::size_t encodedSize = 28;

    friend bool operator==(const ProxyHeader &, const ProxyHeader &) = default;

    /** \brief Appends the header without TLVs to \a target. */
    void appendTo(Bytes &target) const;

    /** \returns header and payload, or nothing if the header is malformed or unsupported.
     *
     * TLVs are skipped but must fill the length field's range exactly.
     */
    [[nodiscard]] static std::optional<ProxiedDatagram> decode(std::span<const std::byte> datagram);
};

struct ProxiedDatagram
{
    ProxyHeader header;
    std::span<const std::byte> payload; //!< Bytes after the header; points into the datagram.
};

} // namespace bulrushgap
