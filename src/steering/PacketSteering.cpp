#include "steering/PacketSteering.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** A SYN copy that arrives sooner was delayed on the way to this instance and goes to the same
 * upstream: answers from two upstreams would confuse the caller. */
constexpr Duration minSynRetransmitInterval = std::chrono::milliseconds(120);

/** A caller's unanswered SYNs count against their upstreams for this long. */
constexpr Duration attemptRetention = std::chrono::seconds(2);

constexpr Duration sweepInterval = std::chrono::seconds(1);

SteeringDecision forward(SteeringReason reason, UpstreamIndex upstream, bool writeTag)
{
    return SteeringDecision{SteeringDecision::Action::Forward, reason, upstream, writeTag};
}

SteeringDecision reset(SteeringReason reason, UpstreamIndex upstream = noUpstream)
{
    return SteeringDecision{SteeringDecision::Action::Reset, reason, upstream, false};
}

SteeringDecision drop(SteeringReason reason)
{
    return SteeringDecision{SteeringDecision::Action::Drop, reason, noUpstream, false};
}

bool servesRoute(const Route &route, std::string_view service)
{
    return std::ranges::any_of(
        route.services, [service](const ServiceShare &share) { return share.service == service; });
}

/** \returns the reason for resetting a flow that no upstream can take. */
SteeringReason refusalReason(const PlacementChoice &choice)
{
    if (choice.withoutBudget > 0)
        return SteeringReason::ColdUpstreams;
    return choice.unreachable > 0 ? SteeringReason::AllUnreachable : SteeringReason::NoUpstream;
}

PlacementConstraints constraintsOf(std::span<const UpstreamIndex> tried)
{
    return PlacementConstraints{tried, tried.size() > 1};
}

/** \returns the services that a new flow of the route may get. */
std::vector<ServiceShare> possibleServices(const Route &route)
{
    std::vector<ServiceShare> services;
    std::ranges::copy_if(route.services, std::back_inserter(services),
                         [](const ServiceShare &share) { return share.weight > 0; });
    if (services.empty())
        services.push_back(route.services.empty() ? ServiceShare{} : route.services.front());
    return services;
}

} // namespace internal

PacketSteering::PacketSteering(SteeringSettings settings, UpstreamDirectory &directory,
                               RouteTable &routes, Random &random, SteeringHooks hooks)
    : directory(directory)
    , routes(routes)
    , random(random)
    , hooks(std::move(hooks))
    , detector(directory,
               {this->hooks.startProbe, this->hooks.startReferenceProbe,
                this->hooks.onLivenessChange,
                [this](UpstreamIndex upstream) { this->resetPendingFlows(upstream); },
                [this](UpstreamIndex upstream, const Outage &outage, TimePoint now) {
                    this->coldStart.markReturned(upstream, outage, now);
                },
                this->hooks.onReachabilityChange, this->hooks.startInstanceProbe},
               settings.domain)
    , observer(settings.flowCapacity, directory, this->detector, this->hooks.latency)
    , placement(directory, this->detector.reachability(), std::move(settings.domain), random)
    , coldStart(directory, routes, this->hooks.isBudgetSharer)
{
    if (settings.learnedCapacity)
        this->placement.useLearnedCapacity();
}

SteeringDecision PacketSteering::decide(const FlowPacket &packet, TimePoint now)
{
    if (!this->routes.isLoaded())
        return internal::drop(SteeringReason::NotReady);
    const Route *route = this->routes.find(packet.route);
    if (route == nullptr)
        return this->decideUnrouted(packet);
    return packet.syn ? this->decideSyn(packet, *route, now)
                      : this->decideEstablished(packet, *route, now);
}

FlowExplanation PacketSteering::explain(Endpoint address, std::optional<Endpoint> caller,
                                        TimePoint now) const
{
    FlowExplanation result;
    result.address = address;
    if (!this->routes.isLoaded())
        return result;
    result.version = this->routes.version();
    FlowPacket packet;
    packet.route = address;
    packet.syn = true;
    const Route *route = this->routes.find(address);
    if (route == nullptr) {
        result.verdict = this->decideUnrouted(packet).reason;
        return result;
    }
    result.route = route->name;
    std::vector<UpstreamIndex> tried;
    if (caller) {
        packet.caller = *caller;
        this->addFailedAttempts(packet, now, tried);
    }
    PlacementConstraints constraints = internal::constraintsOf(tried);
    constraints.idempotent = route->kind == RequestKind::Idempotent;
    result.verdict = SteeringReason::NewFlow;
    for (const ServiceShare &share : internal::possibleServices(*route)) {
        result.services.push_back(this->explainService(share, constraints, now));
        if (result.verdict == SteeringReason::NewFlow)
            result.verdict = result.services.back().verdict;
    }
    if (this->detector.reachesNoUpstream(now))
        result.verdict = SteeringReason::AllUnreachable;
    return result;
}

ServiceExplanation PacketSteering::explainService(const ServiceShare &share,
                                                  const PlacementConstraints &constraints,
                                                  TimePoint now) const
{
    ServiceExplanation result;
    result.weight = share.weight;
    result.placement = this->placement.explain(
        share.service, constraints,
        [this](const Upstream &upstream) { return this->isConfirmedWarm(upstream); }, now);
    if (result.placement.choice.upstream == noUpstream)
        result.verdict = internal::refusalReason(result.placement.choice);
    return result;
}

bool PacketSteering::isConfirmedWarm(const Upstream &upstream) const
{
    if (!upstream.coldReturn)
        return false;
    const auto confirmedAt = this->hooks.registryConfirmedAt();
    return confirmedAt && this->coldStart.isConfirmed(upstream, *confirmedAt);
}

SteeringDecision PacketSteering::decideUnrouted(const FlowPacket &packet) const
{
    if (packet.rst)
        return internal::drop(SteeringReason::StrayPacket);
    if (this->routes.wasRemoved(packet.route))
        return internal::reset(SteeringReason::RouteRemoved);
    if (packet.syn)
        return internal::reset(SteeringReason::NoRoute);
    // Another instance may have placed the flow under a newer configuration.
    const UpstreamIndex upstream = this->directory.findByTag(packet.flowTag);
    if (upstream != noUpstream)
        return internal::forward(SteeringReason::KnownUpstream, upstream, false);
    return internal::drop(SteeringReason::StrayPacket);
}

SteeringDecision PacketSteering::decideSyn(const FlowPacket &packet, const Route &route,
                                           TimePoint now)
{
    const FlowId id{packet.caller, packet.route};
    FlowState *flow = this->observer.findOrAdd(id, now);
    if (flow == nullptr)
        return this->place(packet, route, nullptr, now);
    const bool isLateCopy = flow->established && packet.acknowledged > 0;
    if (isLateCopy && flow->upstream != noUpstream)
        return internal::forward(SteeringReason::RepeatedSyn, flow->upstream, true);
    if (flow->established)
        this->observer.resetState(id, *flow, now);
    flow->lastSeen = now;
    flow->idempotent = route.kind == RequestKind::Idempotent;
    flow->objective = route.objective;
    const bool repeated = flow->upstream != noUpstream;
    if (repeated && now - flow->synSentAt < internal::minSynRetransmitInterval)
        return internal::forward(SteeringReason::RepeatedSyn, flow->upstream, true);
    if (repeated && this->directory.at(flow->upstream).health.lastAnswer() < flow->synSentAt)
        this->detector.markSuspect(flow->upstream, "syn_repeated", now);
    const UpstreamIndex earlier = flow->upstream;
    SteeringDecision decision = this->place(packet, route, flow, now);
    // The flow may be open at the earlier upstream, and its acknowledgment pass another instance.
    if (repeated && decision.action == SteeringDecision::Action::Reset
        && !this->directory.at(earlier).health.isConfirmedDown())
        return internal::forward(SteeringReason::RepeatedSyn, earlier, true);
    if (repeated && decision.action == SteeringDecision::Action::Forward)
        decision.reason = SteeringReason::RepeatedSyn;
    return decision;
}

std::string_view PacketSteering::serviceFor(const Route &route)
{
    std::uint64_t total = 0;
    for (const ServiceShare &share : route.services)
        total += share.weight;
    if (total == 0)
        return route.services.empty() ? std::string_view() : route.services.front().service;
    std::uint64_t offset = this->random() % total;
    for (const ServiceShare &share : route.services) {
        if (offset < share.weight)
            return share.service;
        offset -= share.weight;
    }
    return route.services.back().service;
}

PlacementConstraints PacketSteering::constraintsFor(const FlowPacket &packet, const FlowState *flow,
                                                    TimePoint now)
{
    this->avoided.clear();
    if (flow != nullptr) {
        for (const UpstreamIndex upstream : flow->triedUpstreams) {
            if (upstream != noUpstream)
                this->avoided.push_back(upstream);
        }
    }
    const std::size_t ownTries = this->avoided.size();
    this->addFailedAttempts(packet, now, this->avoided);
    for (std::size_t i = ownTries; i < this->avoided.size(); ++i)
        this->detector.markSuspect(this->avoided[i], "caller_tries_again", now);
    return internal::constraintsOf(this->avoided);
}

void PacketSteering::addFailedAttempts(const FlowPacket &packet, TimePoint now,
                                       std::vector<UpstreamIndex> &tried) const
{
    for (const auto &attempt : this->observer.unansweredSyns(packet.caller.address)) {
        if (this->hasFailed(attempt, packet, now))
            tried.push_back(attempt.upstream);
    }
}

bool PacketSteering::hasFailed(const CallerAttempts::Attempt &attempt, const FlowPacket &packet,
                               TimePoint now) const
{
    if (attempt.upstream == noUpstream || attempt.flow.caller == packet.caller
        || attempt.flow.route != packet.route)
        return false;
    const Duration age = now - attempt.sentAt;
    const Duration answerTime = this->observer.typicalHandshake() * 3 / 4;
    if (age < answerTime || age > internal::attemptRetention)
        return false;
    return this->directory.at(attempt.upstream).health.lastAnswer() < attempt.sentAt;
}

SteeringDecision PacketSteering::place(const FlowPacket &packet, const Route &route,
                                       FlowState *flow, TimePoint now)
{
    PlacementConstraints constraints = this->constraintsFor(packet, flow, now);
    constraints.idempotent = route.kind == RequestKind::Idempotent;
    this->confirmReturned();
    if (this->detector.reachesNoUpstream(now)) {
        this->choice = {};
        return internal::reset(SteeringReason::AllUnreachable);
    }
    this->choice = this->placement.choose(this->serviceFor(route), constraints, now);
    if (this->choice.upstream == noUpstream)
        return internal::reset(internal::refusalReason(this->choice));
    this->observer.onSynForwarded({packet.caller, packet.route}, flow, this->choice.upstream, now);
    return internal::forward(SteeringReason::NewFlow, this->choice.upstream, true);
}

SteeringDecision PacketSteering::decideEstablished(const FlowPacket &packet, const Route &route,
                                                   TimePoint now)
{
    const FlowId id{packet.caller, packet.route};
    if (packet.rst)
        this->observer.onCallerReset(id, now);
    const UpstreamIndex upstream = this->directory.findByTag(packet.flowTag);
    FlowState *flow = packet.rst ? nullptr : this->observer.findOrAdd(id, now);
    if (flow != nullptr) {
        flow->idempotent = route.kind == RequestKind::Idempotent;
        flow->objective = route.objective;
    }
    if (upstream == noUpstream)
        return this->decideUntagged(packet, flow);
    const std::string &service = this->directory.at(upstream).entry.service;
    if (!internal::servesRoute(route, service) && !this->routes.everServed(packet.route, service))
        return internal::drop(SteeringReason::ForeignUpstream);
    if (flow != nullptr)
        return this->decideTagged(packet, *flow, upstream, now);
    return internal::forward(SteeringReason::KnownUpstream, upstream, false);
}

SteeringDecision PacketSteering::decideTagged(const FlowPacket &packet, FlowState &flow,
                                              UpstreamIndex upstream, TimePoint now)
{
    this->observer.observe(packet, flow, upstream, now);
    const bool resettable = flow.idempotent && !packet.fin;
    const bool replaced = this->directory.isReplaced(upstream);
    const bool dead = this->directory.at(upstream).health.isConfirmedDown()
                      && !this->detector.reachesNoUpstream(now);
    if (!resettable || !(replaced || (dead && flow.requestPending)))
        return internal::forward(SteeringReason::KnownUpstream, upstream, false);
    this->observer.remove({packet.caller, packet.route});
    return internal::reset(replaced ? SteeringReason::UpstreamReplaced
                                    : SteeringReason::UpstreamUnreachable,
                           upstream);
}

SteeringDecision PacketSteering::decideUntagged(const FlowPacket &packet,
                                                const FlowState *flow) const
{
    if (packet.rst || packet.fin || packet.flowTag == 0)
        return internal::drop(SteeringReason::StrayPacket);
    // The upstream is gone: a registry read after the first packet of the flow did not list it, and
    // live upstreams had registered again by then if the registry had lost entries.
    const bool complete = this->registryReadSince >= this->directory.completeFrom();
    if (flow != nullptr && complete && flow->firstSeen < this->registryReadSince
        && flow->idempotent)
        return internal::reset(SteeringReason::UnknownUpstream);
    this->hooks.verifyRegistry();
    return internal::drop(SteeringReason::AwaitingView);
}

void PacketSteering::resetPendingFlows(UpstreamIndex upstream)
{
    this->observer.removePendingIf(upstream, [&](const FlowId &id, const FlowState &flow) {
        if (!flow.idempotent)
            return false;
        FlowPacket packet;
        packet.caller = id.caller;
        packet.route = id.route;
        packet.acknowledged = flow.acknowledged;
        this->hooks.resetFlow(packet, upstream);
        return true;
    });
}

void PacketSteering::confirmReturned()
{
    if (!this->coldStart.awaitsConfirmation())
        return;
    if (const auto confirmedAt = this->hooks.registryConfirmedAt())
        this->coldStart.confirmReturned(*confirmedAt);
}

std::optional<TimePoint> PacketSteering::tick(TimePoint now)
{
    if (now - this->lastSweepAt > internal::sweepInterval) {
        this->lastSweepAt = now;
        this->observer.removeExpired(now);
        this->directory.expire(now);
    }
    const bool paused = this->detector.tick(now);
    this->observer.reportLate(now, paused);
    return this->detector.nextTick();
}

UpstreamIndex PacketSteering::takeTrial()
{
    return std::exchange(this->choice.isTrial, false) ? this->choice.upstream : noUpstream;
}

void PacketSteering::setInstancesPerDomain(unsigned instances)
{
    this->placement.setInstancesPerDomain(std::max(1U, instances));
    this->coldStart.refresh();
}

} // namespace bulrushgap::balance
