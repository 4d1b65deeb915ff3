#pragma once

#include "admission/ColdStartRamp.h"
#include "admission/UpstreamLimiter.h"
#include "message/PeerMessage.h"
#include "plan/Plan.h"

#include <cstdint>
#include <vector>

namespace bulrushgap::internal {

/** \brief Last status that was reported to the planner for one service of an upstream. */
struct ReportedStatus
{
    UpstreamStatus status;
    TimePoint at;
};

/** \brief State of an upstream that this instance owns, or owned and still counts requests of. */
struct OwnedUpstream
{
    PlanUpstream plan;
    std::vector<ServiceId> services; //!< Those containing the upstream; empty if not owned.
    UpstreamLimiter limiter;
    ColdStartRamp ramp;
    bool owned = false;
    bool released = false;      //!< Not owned under the next plan: no new requests.
    bool relinquished = false;  //!< Owned under the previous plan but not this one.
    ServiceId lastService;      //!< First of the services while the upstream was owned.
    bool takesRequests = false; //!< Under the plan in force.
    bool domainOut = false;
    std::uint32_t lastDispatch = 0; //!< Sequence number; breaks ties in favour of the least recent.
    std::vector<ReportedStatus> reported;

    [[nodiscard]] std::uint16_t limit(TimePoint now) const
    {
        return this->ramp.limit(this->plan.slots, now);
    }
    [[nodiscard]] std::uint16_t free(TimePoint now) const
    {
        return this->limiter.free(this->limit(now));
    }
    /** \returns whether requests may be sent, or only probes if the plan marks it as ejected. */
    [[nodiscard]] bool eligible() const
    {
        const bool probed = this->plan.state == UpstreamState::Ejected && !this->domainOut;
        return this->owned && !this->released && (this->takesRequests || probed);
    }
};

} // namespace bulrushgap::internal
