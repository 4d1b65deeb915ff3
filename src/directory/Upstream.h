#pragma once

#include "base/Time.h"
#include "coldstart/ColdStartBudget.h"
#include "directory/UpstreamEntry.h"
#include "health/UpstreamHealth.h"

#include <cstdint>

namespace bulrushgap::balance {

/** \brief Index of an upstream in the UpstreamDirectory; reused only long after the upstream was
 * deregistered, and when this instance has no flow of it. */
using UpstreamIndex = std::uint32_t;

constexpr UpstreamIndex noUpstream = UINT32_MAX;

/** \brief Index of a failure domain in the UpstreamDirectory; never reused. */
using DomainIndex = std::uint16_t;

/** \brief State that an instance keeps for one upstream. */
struct Upstream
{
    UpstreamEntry entry;
    DomainIndex domainIndex = 0; //!< Of the failure domain in its entry.
    std::uint32_t flowTag = 0;   //!< Identifies the upstream in the packets of its flows; never 0.
    bool registered = true;      //!< The registry has an entry for it.
    bool tagIsAmbiguous = false; //!< Another upstream has the same tag.
    TimePoint deregisteredAt{};
    std::uint64_t revision = 0; //!< Store revision of the entry.
    TimePoint coldUntil{};
    ColdStartBudget coldBudget;
    UpstreamHealth health;
    bool isMonitored = false;      //!< In the failure detector's list of monitored upstreams.
    bool replaced = false;         //!< Another listed upstream has its address.
    std::uint32_t openFlows = 0;   //!< Flows of this instance.
    std::uint32_t outstanding = 0; //!< Pending requests of this instance.
};

} // namespace bulrushgap::balance
