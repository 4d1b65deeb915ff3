#pragma once

#include "admission/ColdStartRamp.h"
#include "admission/UpstreamLimiter.h"
#include "message/PeerMessage.h"
#include "plan/Plan.h"

#include <cstdint>
#include <vector>

namespace bulrushgap::internal {

/** \brief Last status that was handed out for one service of an upstream. */
struct ReportedStatus
{
    UpstreamStatus status;
    TimePoint at;
};

/** \brief State of an upstream that this instance owns, or gave up with requests in flight. */
struct OwnedUpstream
{
    PlanUpstream plan;
    std::vector<ServiceId> services; //!< That contain the upstream; empty if not owned.
    UpstreamLimiter limiter;
    ColdStartRamp ramp;
    bool owned = false;
    bool released = false;      //!< Given up under the next plan: no new requests.
    bool relinquished = false;  //!< Owned under the previous plan but not this one.
    ServiceId lastService;      //!< That contained the upstream while it was owned.
    bool takesRequests = false; //!< Under the plan in force.
    bool domainOut = false;
    std::uint32_t lastDispatch = 0; //!< Sequence number; the least recent upstream goes first.
    std::vector<ReportedStatus> reported;

    [[nodiscard]] std::uint16_t limit(TimePoint now) const
    {
        return this->ramp.limit(this->plan.slots, now);
    }
    [[nodiscard]] std::uint16_t free(TimePoint now) const
    {
        return this->limiter.free(this->limit(now));
    }
    /** \returns whether the upstream may get requests, or only probes if the plan ejected it. */
    [[nodiscard]] bool eligible() const
    {
        const bool probed = this->plan.state == UpstreamState::Ejected && !this->domainOut;
        return this->owned && !this->released && (this->takesRequests || probed);
    }
};

} // namespace bulrushgap::internal
