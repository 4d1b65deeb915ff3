#pragma once

#include "base/Ids.h"

#include <cstdint>

namespace bulrushgap {

/** \brief Why an instance passes a packet on to another instance. */
enum class RelayKind : std::uint8_t {
    NotReady,   //!< The sender holds no plan.
    Arbiter,    //!< The receiver decides where the unknown flow goes.
    Admission,  //!< The receiver owns an upstream with free slots.
    Ticket,     //!< The receiver issued the ticket of the request.
    Dispatcher, //!< The receiver dispatched the request that this answers.
    Issuer,     //!< An answer or refusal for the instance that holds the request's record.
};

/** \brief Precedes a datagram that one instance relays to another. */
struct RelayHeader
{
    RelayKind kind = RelayKind::NotReady;
    InstanceId sender;
    std::uint64_t senderBoot = 0;
    std::uint64_t receiverBoot = 0; //!< 0: any boot of the receiver.
    std::uint8_t hops = 0;          //!< Relays so far, at most maximalRelayHops.
    std::uint64_t relayId = 0;      //!< Unique within the boot of the sender.

    friend bool operator==(const RelayHeader &, const RelayHeader &) = default;
};

constexpr std::uint8_t maximalRelayHops = 2;

} // namespace bulrushgap
