#pragma once

#include "directory/Upstream.h"

#include <cstddef>

namespace bulrushgap::balance {

/** \brief Chosen upstream, with the inputs of the decision for the log. */
struct PlacementChoice
{
    UpstreamIndex upstream = noUpstream;
    std::size_t candidates = 0;    //!< Upstreams whose entries allow new flows.
    std::size_t withoutBudget = 0; //!< Cold upstreams without budget for a flow now.
    std::size_t unreachable = 0;   //!< Upstreams confirmed down or in unreachable domains.
    double score = 0.0;            //!< Requests per slot and penalties; the lowest is chosen.
    bool isTrial = false;          //!< The upstream is ejected and receives the flow to test it.
};

} // namespace bulrushgap::balance
