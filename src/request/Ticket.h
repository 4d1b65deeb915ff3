#pragma once

#include "base/Endpoint.h"
#include "base/Ids.h"
#include "base/Time.h"
#include "packet/Packet.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace bulrushgap {

/** \brief Bytes of an encoded ticket: the maximal length of the CoAP Echo option (RFC 9175). */
constexpr std::size_t ticketSize = 40;
/** \brief Bytes of the MAC at the end of an encoded ticket. */
constexpr std::size_t ticketMacSize = 16;

using TicketBytes = std::array<std::byte, ticketSize>;

/** \brief Permission to run one non-idempotent request, issued by one instance. */
struct Ticket
{
    InstanceId issuer;
    std::uint64_t issuerBoot = 0;
    ServiceId service;
    TimePoint expiry; //!< On the clock of the issuer; meaningless to other instances.
    std::uint32_t nonce = 0;

    friend bool operator==(const Ticket &, const Ticket &) = default;

    /** \returns the fields in network byte order, followed by zeros in place of the MAC. */
    [[nodiscard]] TicketBytes encode() const;

    /** \returns the fields without a check of the MAC, or nothing if the size is wrong.
     * \sa TicketIssuer::verify */
    [[nodiscard]] static std::optional<Ticket> decode(std::span<const std::byte> bytes);
};

/** \brief The request that a ticket is bound to: covered by the MAC, but not part of the ticket. */
struct TicketBinding
{
    FlowKey flow;
    Token token;
};

} // namespace bulrushgap
