#pragma once

#include "base/Ids.h"
#include "base/Reasons.h"

#include <variant>

namespace bulrushgap {

/** \brief Forward the packet to this upstream. */
struct ToUpstream
{
    UpstreamId upstream;

    friend bool operator==(const ToUpstream &, const ToUpstream &) = default;
};

/** \brief Relay the packet to the instance that is the arbiter of its bucket. */
struct ToArbiter
{
    InstanceId instance;

    friend bool operator==(const ToArbiter &, const ToArbiter &) = default;
};

/** \brief Drop the packet for this reason. */
struct Refuse
{
    RefusalReason reason = RefusalReason::NotReady;

    friend bool operator==(const Refuse &, const Refuse &) = default;
};

/** \brief Outcome of routing one packet of a flow. */
using FlowDecision = std::variant<ToUpstream, ToArbiter, Refuse>;

} // namespace bulrushgap
