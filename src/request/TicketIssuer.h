#pragma once

#include "request/Ticket.h"

#include <array>
#include <optional>
#include <span>

namespace bulrushgap {

/** \brief Key of the ticket MAC; shared by all instances of a deployment. */
using TicketKey = std::array<std::byte, 32>;

struct TicketSettings
{
    TicketKey key{};
    std::optional<TicketKey> previousKey;  //!< Still accepted while keys are rotated.
    Duration validity{10'000'000};         //!< From issue to expiry.
    Duration recordRetention{120'000'000}; //!< How long ledger records are kept after the expiry.
};

enum class TicketStatus {
    Valid,
    Invalid,         //!< The size, MAC, binding or service does not match.
    ForeignIssuer,   //!< Relay to the issuer, whose clock the expiry refers to.
    IssuerRestarted, //!< Issued before a restart of this instance: the request may have run.
    Expired,         //!< Without a ledger record, the request was not run.
    RecordExpired,   //!< The ledger record may have expired as well: the request may have run.
};

struct TicketCheck
{
    TicketStatus status = TicketStatus::Invalid;
    Ticket ticket; //!< Valid unless the status is Invalid.
};

/** \brief Issues and verifies tickets of this instance since its start. */
class TicketIssuer
{
public:
    TicketIssuer(InstanceId self, std::uint64_t bootId, const TicketSettings &settings,
                 Random &random)
        : self(self)
        , bootId(bootId)
        , settings(settings)
        , random(random)
    {}

    /** \returns a ticket for the request, valid from \a now on. */
    [[nodiscard]] TicketBytes issue(const TicketBinding &binding, ServiceId service, TimePoint now);

    /** \returns the status of a ticket that came with the request that \a binding identifies. */
    [[nodiscard]] TicketCheck verify(std::span<const std::byte> bytes, const TicketBinding &binding,
                                     ServiceId service, TimePoint now) const;

    /** \returns the time until which the ledger keeps the record of a request with \a ticket. */
    [[nodiscard]] TimePoint recordExpiry(const Ticket &ticket) const
    {
        return ticket.expiry + this->settings.recordRetention;
    }

private:
    [[nodiscard]] bool isAuthentic(std::span<const std::byte> bytes,
                                   const TicketBinding &binding) const;

    InstanceId self;
    std::uint64_t bootId;
    TicketSettings settings;
    Random &random;
};

} // namespace bulrushgap
