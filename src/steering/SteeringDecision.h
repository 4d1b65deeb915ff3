#pragma once

#include "directory/Upstream.h"

#include <cstdint>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Why a packet was forwarded, reset or dropped; each reason has a counter. */
enum class SteeringReason : std::uint8_t {
    NewFlow,             //!< Forwarded: a SYN, placed on an upstream.
    RepeatedSyn,         //!< Forwarded: a retransmitted SYN.
    KnownUpstream,       //!< Forwarded: to the upstream that the packet's tag identifies.
    NoRoute,             //!< Reset: no known configuration had a route at the address.
    RouteRemoved,        //!< Reset: a newer configuration removed the route.
    NoUpstream,          //!< Reset: the service has no upstream in the registry.
    ColdUpstreams,       //!< Reset: the remaining upstreams are cold and out of budget.
    AllUnreachable,      //!< Reset: all upstreams of the service are confirmed down or cut off.
    UpstreamUnreachable, //!< Reset: the flow's upstream is confirmed down or cut off.
    UpstreamReplaced,    //!< Reset: the flow's upstream is gone and another uses its address.
    UnknownUpstream,     //!< Reset: no upstream in an up-to-date registry view has the tag.
    NotReady,            //!< Dropped: configuration or registry not loaded yet.
    AwaitingView,        //!< Dropped: the tag is unknown and the registry view may be stale.
    ForeignUpstream,     //!< Dropped: the tag belongs to an upstream of another service.
    StrayPacket,         //!< Dropped: no upstream for the packet and no flow to reset.
    Count,
};

[[nodiscard]] std::string_view toString(SteeringReason reason);

/** \brief What to do with a packet. */
struct SteeringDecision
{
    enum class Action : std::uint8_t { Forward, Reset, Drop };

    Action action = Action::Drop;
    SteeringReason reason = SteeringReason::NotReady;
    UpstreamIndex upstream
        = noUpstream;      //!< Target of Forward, or the upstream that caused a reset.
    bool writeTag = false; //!< Write the upstream's flow tag into the packet.
};

} // namespace bulrushgap::balance
