#pragma once

#include "base/Time.h"
#include "capacity/CapacityEstimate.h"
#include "coldstart/ColdReturn.h"
#include "coldstart/ColdStartBudget.h"
#include "directory/UpstreamEntry.h"
#include "ejection/EjectionMark.h"
#include "health/UpstreamHealth.h"
#include "store/StoreRevision.h"

#include <cstdint>
#include <optional>

namespace bulrushgap::balance {

/** \brief Index of an upstream in the UpstreamDirectory; reused only long after the upstream was
 * deregistered, and when this instance has no flow of it. */
using UpstreamIndex = std::uint32_t;

constexpr UpstreamIndex noUpstream = UINT32_MAX;

/** \brief Index of a failure domain in the UpstreamDirectory; never reused. */
using DomainIndex = std::uint16_t;

/** \brief Index of a service in the UpstreamDirectory; never reused. */
using ServiceIndex = std::uint16_t;

/** \brief State that an instance keeps for one upstream. */
struct Upstream
{
    UpstreamEntry entry;
    DomainIndex domainIndex = 0;   //!< Of the failure domain in its entry.
    ServiceIndex serviceIndex = 0; //!< Of the service in its entry.
    std::uint32_t flowTag = 0;   //!< Identifies the upstream in the packets of its flows; never 0.
    bool registered = true;      //!< The registry has an entry for it.
    bool tagIsAmbiguous = false; //!< Another upstream has the same tag.
    TimePoint deregisteredAt{};
    StoreRevision revision;               //!< Of the entry.
    TimePoint coldUntil{};                //!< By its entry, or the return of its domain.
    std::optional<ColdReturn> coldReturn; //!< A return after which it may be cold.
    ColdStartBudget coldBudget;
    UpstreamHealth health;
    CapacityEstimate capacity;     //!< Of this incarnation.
    double reportedCapacity = 1.0; //!< Factor at the last report of a change.
    EjectionMark ejection;
    bool isMonitored = false;      //!< In the failure detector's list of monitored upstreams.
    bool replaced = false;         //!< Another listed upstream has its address.
    std::uint32_t openFlows = 0;   //!< Flows of this instance.
    std::uint32_t outstanding = 0; //!< Pending requests of this instance.

    [[nodiscard]] bool isCold(TimePoint now) const
    {
        return now < this->coldUntil || (this->coldReturn && this->coldReturn->isCold(now));
    }

    /** \returns whether it counts as cold only because it was cut off for a while. */
    [[nodiscard]] bool isProbablyWarm(TimePoint now) const
    {
        return now >= this->coldUntil && this->coldReturn && !this->coldReturn->wasRefused();
    }
};

} // namespace bulrushgap::balance
