#pragma once

#include "base/Ids.h"
#include "base/Reasons.h"

#include <variant>

namespace bulrushgap {

struct ToUpstream
{
    UpstreamId upstream;

    friend bool operator==(const ToUpstream &, const ToUpstream &) = default;
};

/** \brief Relay the packet to this instance, which decides. */
struct ToArbiter
{
    InstanceId instance;

    friend bool operator==(const ToArbiter &, const ToArbiter &) = default;
};

struct Refuse
{
    RefusalReason reason = RefusalReason::NotReady;

    friend bool operator==(const Refuse &, const Refuse &) = default;
};

using FlowDecision = std::variant<ToUpstream, ToArbiter, Refuse>;

} // namespace bulrushgap
