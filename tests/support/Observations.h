#pragma once

#include "base/Endpoint.h"
#include "base/Verdict.h"
#include "packet/Packet.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace bulrushgap::test {

/** \brief Violations of the invariants, counted by an observer outside of the instances. */
struct Violations
{
    std::uint64_t movedFlows = 0;         //!< A flow changed its upstream (P1).
    std::uint64_t crossedServices = 0;    //!< A packet reached another service's upstream (P2).
    std::uint64_t coldOverload = 0;       //!< A cold upstream exceeded its cold capacity (P3).
    std::uint64_t slotsExceeded = 0;      //!< An upstream ran more requests than it has slots.
    std::uint64_t packetsToOutDomain = 0; //!< Packets after the permitted delay (P4).
    std::uint64_t wrongAnswers = 0;       //!< A caller received the answer to another request (P5).
    std::uint64_t falseNotRun = 0;        //!< A request reported as not run ran anyway (P6).
    std::uint64_t doubleRuns = 0;         //!< A non-idempotent request ran twice (P7).
    std::uint64_t workWhileDraining = 0;  //!< New work for a draining upstream, too late (P8).
    std::uint64_t revertedPlans = 0;      //!< A plan in force replaced by an older one (P10).

    [[nodiscard]] std::uint64_t total() const
    {
        return this->movedFlows + this->crossedServices + this->coldOverload + this->slotsExceeded
               + this->packetsToOutDomain + this->wrongAnswers + this->falseNotRun
               + this->doubleRuns + this->workWhileDraining + this->revertedPlans;
    }
};

/** \brief Outcomes as observed by callers. */
struct Outcomes
{
    std::uint64_t flowPackets = 0;       //!< Sent by callers.
    std::uint64_t flowPacketsServed = 0; //!< Received by upstreams.
    std::uint64_t resets = 0;
    std::uint64_t movedUnplanned = 0; //!< Flows that moved shortly after an unplanned fault.
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t bookings = 0; //!< Non-idempotent requests.
    std::uint64_t bookingsRun = 0;
    std::map<std::string, std::uint64_t> refusals; //!< By reason.
};

} // namespace bulrushgap::test
