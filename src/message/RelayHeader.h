#pragma once

#include "base/Ids.h"

#include <cstdint>

namespace bulrushgap {

/** \brief Why an instance relays a packet to another instance. */
enum class RelayKind : std::uint8_t {
    NotReady,   //!< The sender cannot handle it, for lack of a plan.
    Arbiter,    //!< The receiver places a flow that the sender has not recorded.
    Admission,  //!< The receiver owns an upstream with free slots.
    Ticket,     //!< The receiver issued the ticket of the request.
    Dispatcher, //!< The receiver dispatched the request of this answer.
    Issuer,     //!< An answer or refusal; the receiver holds the ledger record.
};

/** \brief Header of a datagram that one instance relays to another. */
struct RelayHeader
{
    RelayKind kind = RelayKind::NotReady;
    InstanceId sender;
    std::uint64_t senderBoot = 0;
    std::uint64_t receiverBoot = 0; //!< 0 matches any boot.
    std::uint8_t hops = 0;          //!< Relays so far, at most maximalRelayHops.
    std::uint64_t relayId = 0;      //!< Unique within the boot of the sender.

    friend bool operator==(const RelayHeader &, const RelayHeader &) = default;
};

constexpr std::uint8_t maximalRelayHops = 2;

} // namespace bulrushgap
