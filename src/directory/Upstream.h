#pragma once

#include "base/Time.h"
#include "coldstart/ColdStartBudget.h"
#include "directory/UpstreamEntry.h"
#include "health/UpstreamHealth.h"

#include <cstdint>

namespace bulrushgap::balance {

/** \brief Position of an upstream in the UpstreamDirectory; used for another one only long after
 * the upstream has left and no flow of it is known. */
using UpstreamIndex = std::uint32_t;

constexpr UpstreamIndex noUpstream = UINT32_MAX;

/** \brief What an instance knows of one upstream. */
struct Upstream
{
    UpstreamEntry entry;
    std::uint32_t flowTag = 0;   //!< Travels with each flow of the upstream; never 0.
    bool listed = true;          //!< The registry has an entry for it.
    bool tagIsAmbiguous = false; //!< Another upstream has the same tag.
    TimePoint unlistedAt{};
    std::uint64_t revision = 0; //!< Store revision of the entry.
    TimePoint coldUntil{};
    ColdStartBudget coldBudget;
    UpstreamHealth health;
    bool underWatch = false;       //!< In the list of upstreams that the steering checks.
    bool replaced = false;         //!< Another listed upstream has its address.
    std::uint32_t openFlows = 0;   //!< Flows of this instance.
    std::uint32_t outstanding = 0; //!< Requests of this instance that wait for an answer.
};

} // namespace bulrushgap::balance
