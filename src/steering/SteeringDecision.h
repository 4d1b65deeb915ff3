#pragma once

#include "directory/Upstream.h"

#include <cstdint>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Why a packet was passed on, reset or dropped. Each reason has a counter. */
enum class SteeringReason : std::uint8_t {
    NewFlow,             //!< Passed on: a SYN, placed on an upstream.
    RepeatedSyn,         //!< Passed on: a copy of a SYN that an upstream did not answer.
    KnownUpstream,       //!< Passed on to the upstream that the packet's tag names.
    NoRoute,             //!< Reset: the address was never a route.
    RouteRemoved,        //!< Reset: a configuration dropped the route.
    NoUpstream,          //!< Reset: the service has no upstream in the registry.
    ColdUpstreams,       //!< Reset: only cold upstreams are left, and they bear no more now.
    AllUnreachable,      //!< Reset: all upstreams of the service are proven dead or cut off.
    UpstreamUnreachable, //!< Reset: the flow's upstream is proven dead or cut off.
    UpstreamReplaced,    //!< Reset: the flow's upstream is gone, another has its address.
    UnknownUpstream,     //!< Reset: no upstream has the tag, by a view that is up to date.
    NotReady,            //!< Dropped: no configuration or registry is known yet.
    AwaitingView,        //!< Dropped: the tag is unknown and the view may be old.
    ForeignUpstream,     //!< Dropped: the tag names an upstream of another service.
    StrayPacket,         //!< Dropped: the end of a flow that has no upstream.
    Count,
};

[[nodiscard]] std::string_view toString(SteeringReason reason);

/** \brief What to do with a packet. */
struct SteeringDecision
{
    enum class Action : std::uint8_t { Forward, Reset, Drop };

    Action action = Action::Drop;
    SteeringReason reason = SteeringReason::NotReady;
    UpstreamIndex upstream = noUpstream; //!< For Forward, and the one that a reset is about.
    bool writeTag = false;               //!< The packet gets the upstream's flow tag.
};

} // namespace bulrushgap::balance
