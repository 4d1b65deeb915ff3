#pragma once

#include "coldstart/ColdStartPolicy.h"
#include "directory/RouteTable.h"
#include "directory/UpstreamDirectory.h"
#include "health/FailureDetector.h"
#include "placement/Placement.h"
#include "steering/FlowObserver.h"
#include "steering/FlowPacket.h"
#include "steering/SteeringDecision.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::balance {

struct SteeringSettings
{
    std::string domain;           //!< Failure domain of this instance.
    std::size_t flowCapacity = 0; //!< Flows tracked at most.
};

/** \brief What the steering asks of its surroundings. */
struct SteeringHooks
{
    /** Probes an upstream with a connection; the result goes to PacketSteering::probed. */
    std::function<void(UpstreamIndex upstream)> startProbe;

    /** The same for an upstream that is believed alive; goes to PacketSteering::witnessed. */
    std::function<void(UpstreamIndex upstream)> startWitness;

    /** The belief about an upstream has changed. */
    std::function<void(UpstreamIndex upstream, Liveness before, std::string_view evidence)>
        onBelief;

    /** \returns whether this instance is among \a count that share the budget of an upstream. */
    ColdStartPolicy::SharerCheck sharesBudget;

    /** Asks the registry itself for its entries; the answer goes to PacketSteering::viewVerified.
     */
    std::function<void()> verifyView;

    /** Sends the caller a reset on a flow that waits for an unreachable upstream. */
    std::function<void(const FlowPacket &flow, UpstreamIndex upstream)> resetFlow;

    FlowObserverHooks latency; //!< May be empty.
};

/** \brief Decides what happens to each packet of a caller; no input or output of its own.
 *
 * The upstream of an open flow is the one that its packets' tag names, so any instance can carry on
 * any flow. Only new flows are placed. What is remembered of flows serves failure detection and
 * load. Answers upstreams that die without notice: new flows avoid them after one overdue answer,
 * open flows are reset once probes prove them unreachable, and a new flow that no upstream can take
 * is refused at once.
 */
class PacketSteering
{
public:
    PacketSteering(SteeringSettings settings, UpstreamDirectory &directory, RouteTable &routes,
                   Random &random, SteeringHooks hooks);

    [[nodiscard]] SteeringDecision decide(const FlowPacket &packet, TimePoint now);

    /** \brief Checks overdue answers, starts probes, forgets old flows and upstreams.
     * \returns when to call it again, or nothing while no answer is awaited.
     */
    std::optional<TimePoint> tick(TimePoint now);

    /** \returns when tick must be called next. */
    [[nodiscard]] std::optional<TimePoint> nextTick() const { return this->detector.nextTick(); }

    void probed(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt, TimePoint now)
    {
        this->detector.probed(upstream, result, startedAt, now);
    }
    void witnessed(TimePoint startedAt, TimePoint now) { this->detector.witnessed(startedAt, now); }

    /** \brief The registry's entries have been read by a call that began at \a since. */
    void viewVerified(TimePoint since) { this->verifiedSince = since; }

    /** \brief The upstreams of a failure domain may have turned cold without notice. */
    void domainReturned(std::string_view domain, TimePoint now)
    {
        this->coldStart.domainReturned(domain, now);
    }

    /** \brief Sets how many instances share the load of a domain. */
    void setInstancesPerDomain(unsigned instances);

    /** \brief Applies the configuration's limits to upstreams that are or may be cold. */
    void refreshColdBudgets() { this->coldStart.refresh(); }

    [[nodiscard]] std::size_t flowCount() const { return this->observer.flowCount(); }
    [[nodiscard]] const PlacementChoice &lastChoice() const { return this->choice; }

private:
    [[nodiscard]] SteeringDecision decideSyn(const FlowPacket &packet, const Route &route,
                                             TimePoint now);
    [[nodiscard]] SteeringDecision decideOpen(const FlowPacket &packet, const Route &route,
                                              TimePoint now);
    [[nodiscard]] SteeringDecision decideTagged(const FlowPacket &packet, FlowState &flow,
                                                UpstreamIndex upstream, TimePoint now);
    [[nodiscard]] SteeringDecision decideUnrouted(const FlowPacket &packet) const;
    [[nodiscard]] SteeringDecision decideUntagged(const FlowPacket &packet,
                                                  const FlowState *flow) const;
    [[nodiscard]] SteeringDecision place(const FlowPacket &packet, const Route &route,
                                         FlowState *flow, TimePoint now);

    [[nodiscard]] std::string_view serviceFor(const Route &route);
    [[nodiscard]] PlacementLimits limitsFor(const FlowPacket &packet, const FlowState *flow,
                                            TimePoint now);
    [[nodiscard]] bool triedInVain(const CallerAttempts::Attempt &attempt, const FlowPacket &packet,
                                   TimePoint now) const;
    void resetWaitingFlows(UpstreamIndex upstream);

    UpstreamDirectory &directory;
    RouteTable &routes;
    Random &random;
    SteeringHooks hooks;
    FailureDetector detector;
    FlowObserver observer;
    Placement placement;
    ColdStartPolicy coldStart;
    PlacementChoice choice;
    std::vector<UpstreamIndex> avoided; //!< Buffer of limitsFor.
    TimePoint sweptAt{};
    TimePoint verifiedSince{};
};

} // namespace bulrushgap::balance
