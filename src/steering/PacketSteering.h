#pragma once

#include "coldstart/ColdStartPolicy.h"
#include "directory/RouteTable.h"
#include "directory/UpstreamDirectory.h"
#include "health/FailureDetector.h"
#include "placement/Placement.h"
#include "steering/FlowExplanation.h"
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
    std::size_t flowCapacity = 0; //!< Maximum number of tracked flows.
    bool learnedCapacity = false; //!< Slots are multiplied by the learned capacity of the upstream.
};

/** \brief Callbacks of PacketSteering. */
struct SteeringHooks
{
    /** Starts a connection probe of an upstream; the result goes to PacketSteering::onProbeResult.
     */
    std::function<void(UpstreamIndex upstream)> startProbe;

    /** Probes an upstream to check this instance's own connectivity or that of a failure domain;
     * the result goes to PacketSteering::onReferenceResult. */
    std::function<void(UpstreamIndex upstream)> startReferenceProbe;

    /** Connects to an instance of a failure domain; the result goes to
     * PacketSteering::onInstanceReached. May be empty. */
    std::function<void(DomainIndex domain)> startInstanceProbe;

    /** The liveness of an upstream has changed. */
    std::function<void(UpstreamIndex upstream, Liveness before, std::string_view evidence)>
        onLivenessChange;

    /** \returns whether this instance is one of the \a count that share the budget of an upstream.
     */
    ColdStartPolicy::SharerCheck isBudgetSharer;

    /** Reads the entries from the registry itself; the result goes to
     * PacketSteering::registryVerified. */
    std::function<void()> verifyRegistry;

    /** \returns when the store last confirmed the registry that this instance knows, or nothing
     * while it can't be read. */
    std::function<std::optional<TimePoint>()> registryConfirmedAt;

    /** Resets a flow with a pending request to an unreachable upstream. */
    std::function<void(const FlowPacket &flow, UpstreamIndex upstream)> resetFlow;

    /** A failure domain has become unreachable or reachable; may be empty. */
    std::function<void(const ReachabilityChange &change)> onReachabilityChange;

    FlowObserverHooks latency; //!< May be empty.
};

/** \brief Decides what happens to each packet of a caller; performs no I/O.
 *
 * The tag in the packets of an established flow identifies its upstream, so any instance can
 * forward any flow. Only new flows are placed; flow state serves failure detection and load
 * balancing. Handles upstreams that fail without notice: new flows avoid them after one overdue
 * answer, established flows are reset once probes confirm that they are unreachable, and a new flow
 * that no upstream can take is refused immediately.
 */
class PacketSteering
{
public:
    PacketSteering(SteeringSettings settings, UpstreamDirectory &directory, RouteTable &routes,
                   Random &random, SteeringHooks hooks);

    [[nodiscard]] SteeringDecision decide(const FlowPacket &packet, TimePoint now);

    /** \returns what decide would do with the SYN of a new flow; changes nothing.
     * \param caller whose unanswered attempts count; may be empty */
    [[nodiscard]] FlowExplanation explain(Endpoint route, std::optional<Endpoint> caller,
                                          TimePoint now) const;

    /** \brief Checks overdue answers, starts probes, removes expired flows and upstreams.
     * \returns the time of the next call, or nothing while no answer is expected.
     */
    std::optional<TimePoint> tick(TimePoint now);

    /** \returns when tick must be called next. */
    [[nodiscard]] std::optional<TimePoint> nextTick() const { return this->detector.nextTick(); }

    void onProbeResult(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt,
                       TimePoint now)
    {
        this->detector.onProbeResult(upstream, result, startedAt, now);
    }
    void onReferenceResult(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt,
                           TimePoint now)
    {
        this->detector.onReferenceResult(upstream, result, startedAt, now);
    }

    void onInstanceReached(DomainIndex domain, TimePoint startedAt, TimePoint now)
    {
        this->detector.onInstanceReached(domain, startedAt, now);
    }

    [[nodiscard]] const FailureDetector &failureDetector() const { return this->detector; }

    [[nodiscard]] const DomainReachability &reachability() const
    {
        return this->detector.reachability();
    }

    /** \brief Records that the entries were read from the registry by a call started at \a since.
     */
    void registryVerified(TimePoint since) { this->registryReadSince = since; }

    /** \brief Treats the upstreams of a failure domain as cold after its return from an evacuation.
     */
    void markDomainCold(std::string_view domain, TimePoint now)
    {
        this->coldStart.markDomainCold(domain, now);
    }

    /** \brief Sets how many instances share the load of a domain. */
    void setInstancesPerDomain(unsigned instances);

    /** \brief Applies the configuration's limits to upstreams that are or may be cold. */
    void refreshColdBudgets() { this->coldStart.refresh(); }

    [[nodiscard]] std::size_t flowCount() const { return this->observer.flowCount(); }
    [[nodiscard]] const PlacementChoice &lastChoice() const { return this->choice; }

    /** \returns the ejected upstream on which the last new flow was placed on trial, once;
     * otherwise noUpstream. */
    [[nodiscard]] UpstreamIndex takeTrial();

private:
    [[nodiscard]] SteeringDecision decideSyn(const FlowPacket &packet, const Route &route,
                                             TimePoint now);
    [[nodiscard]] SteeringDecision decideEstablished(const FlowPacket &packet, const Route &route,
                                                     TimePoint now);
    [[nodiscard]] SteeringDecision decideTagged(const FlowPacket &packet, FlowState &flow,
                                                UpstreamIndex upstream, TimePoint now);
    [[nodiscard]] SteeringDecision decideUnrouted(const FlowPacket &packet) const;
    [[nodiscard]] SteeringDecision decideUntagged(const FlowPacket &packet,
                                                  const FlowState *flow) const;
    [[nodiscard]] SteeringDecision place(const FlowPacket &packet, const Route &route,
                                         FlowState *flow, TimePoint now);

    [[nodiscard]] std::string_view serviceFor(const Route &route);
    [[nodiscard]] PlacementConstraints constraintsFor(const FlowPacket &packet,
                                                      const FlowState *flow, TimePoint now);
    void addFailedAttempts(const FlowPacket &packet, TimePoint now,
                           std::vector<UpstreamIndex> &tried) const;
    [[nodiscard]] ServiceExplanation explainService(const ServiceShare &share,
                                                    const PlacementConstraints &constraints,
                                                    TimePoint now) const;
    [[nodiscard]] bool isConfirmedWarm(const Upstream &upstream) const;
    [[nodiscard]] bool hasFailed(const CallerAttempts::Attempt &attempt, const FlowPacket &packet,
                                 TimePoint now) const;
    void resetPendingFlows(UpstreamIndex upstream);
    void confirmReturned();

    UpstreamDirectory &directory;
    RouteTable &routes;
    Random &random;
    SteeringHooks hooks;
    FailureDetector detector;
    FlowObserver observer;
    Placement placement;
    ColdStartPolicy coldStart;
    PlacementChoice choice;
    std::vector<UpstreamIndex> avoided; //!< Scratch buffer of constraintsFor.
    TimePoint lastSweepAt{};
    TimePoint registryReadSince{};
};

} // namespace bulrushgap::balance
