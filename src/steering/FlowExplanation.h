#pragma once

#include "base/Endpoint.h"
#include "placement/PlacementExplanation.h"
#include "steering/SteeringDecision.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushgap::balance {

/** \brief What would happen to a new flow that one service of its route gets. */
struct ServiceExplanation
{
    unsigned weight = 0; //!< Share of the route's new flows.
    SteeringReason verdict = SteeringReason::NewFlow;
    PlacementExplanation placement;
};

/** \brief What would happen to a new flow, and why. */
struct FlowExplanation
{
    Endpoint address;
    std::string route;         //!< Name; empty if there is none at the address.
    std::uint64_t version = 0; //!< Of the configuration.
    SteeringReason verdict = SteeringReason::NotReady; //!< The first refusal if services differ.
    std::vector<ServiceExplanation> services;          //!< Those that may get the flow.
};

} // namespace bulrushgap::balance
