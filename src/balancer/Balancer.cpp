#include "balancer/Balancer.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Minimum tick interval: more frequent wake-ups cost more than earlier detection is worth. */
constexpr Duration tickGranularity = std::chrono::milliseconds(8);

/** Packets received while the view is being read are forwarded if it is complete within this time;
 * callers retransmit after 200 ms. */
constexpr Duration maxPacketWait = std::chrono::milliseconds(400);

/** At the first start of a deployment, all instances register before any reads the member list. */
constexpr Duration firstStartDelay = std::chrono::milliseconds(800);

constexpr Duration statusInterval = std::chrono::seconds(5);

/** A starting instance adopts the ejections of other instances for this long. */
constexpr Duration adoptionTime = std::chrono::seconds(5);

/** \returns the number, at most the greatest that a report can hold. */
std::uint16_t toWire(std::int64_t number)
{
    return static_cast<std::uint16_t>(
        std::min<std::int64_t>(number, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace internal

Balancer::Balancer(BalancerOptions options, const Scheduler &scheduler, ObjectSource &store,
                   MemberStore &memberStore, Random &random, Counters &counters, Log &log,
                   BalancerHooks hooks)
    : options(std::move(options))
    , scheduler(scheduler)
    , store(store)
    , counters(counters)
    , hooks(std::move(hooks))
    , directory([this](const DirectoryChange &change) { this->onDirectoryChange(change); })
    , ejection(this->directory, counters, this->ejectionHooks())
    , capacity(this->directory,
               [this](UpstreamIndex upstream, double before, double after) {
                   this->balancerLog.capacityChange(upstream, before, after);
               })
    , steering(
          {this->options.self.domain, this->options.flowCapacity, this->options.learnedCapacity},
          this->directory, this->routes, random, this->steeringHooks())
    , sources(this->options.self, this->options.seeds, this->options.firstStart)
    , sharing(scheduler, random, this->sharingHooks())
    , sourcedStore(scheduler, store, this->sources, counters, log, this->sourceHooks())
    , balancerLog({scheduler, this->directory, this->routes, this->steering, this->sources,
                   this->sourcedStore},
                  counters, log)
    , mirror(scheduler, this->mirrorHooks())
    , sweeper(scheduler, memberStore, this->options.self.name, counters, log, this->sweeperHooks())
    , view(scheduler, this->sourcedStore, random,
           {this->directory, this->routes, this->steering, this->sources, this->mirror,
            this->sweeper},
           counters, log, [this] { this->onViewChange(); })
    , registration(scheduler, memberStore, random, this->options.self, log)
    , domainUpstreams(this->directory, this->routes, this->options.self.domain)
    , readiness(scheduler, this->options.self, counters, log, this->readinessHooks())
{}

SteeringHooks Balancer::steeringHooks()
{
    SteeringHooks result;
    result.startProbe = [this](UpstreamIndex upstream) {
        this->startProbe(upstream);
    };
    result.startReferenceProbe = [this](UpstreamIndex upstream) {
        this->startReferenceProbe(upstream);
    };
    result.startInstanceProbe = [this](DomainIndex domain) {
        this->startInstanceProbe(domain);
    };
    result.onLivenessChange
        = [this](UpstreamIndex upstream, Liveness before, std::string_view evidence) {
              this->onLivenessChange(upstream, before, evidence);
          };
    result.onReachabilityChange = [this](const ReachabilityChange &change) {
        this->balancerLog.reachabilityChange(change);
    };
    result.isBudgetSharer = [this](std::string_view upstream, unsigned count) {
        return this->sources.isSelected(upstream, count);
    };
    result.verifyRegistry = [this] {
        this->view.verifyUpstreams(this->store);
    };
    result.registryConfirmedAt = [this] {
        return this->view.registryConfirmedAt();
    };
    result.resetFlow = [this](const FlowPacket &flow, UpstreamIndex upstream) {
        this->hooks.resetCaller(flow);
        this->balancerLog.flowReset(flow, upstream);
    };
    result.latency = this->observerHooks();
    return result;
}

FlowObserverHooks Balancer::observerHooks()
{
    FlowObserverHooks result = this->hooks.latency;
    if (this->options.ejection || this->options.learnedCapacity) {
        result.onOutcome = [this](const RequestObservation &observation) {
            this->onOutcome(observation);
        };
    }
    return result;
}

EjectionHooks Balancer::ejectionHooks()
{
    return {[this](const EjectionChange &change) { this->onEjectionChange(change); },
            [this](std::string_view upstream) {
                return this->sharing.hasNeighbours() ? this->sources.rankInDomain(upstream) : 0U;
            },
            [this](UpstreamIndex upstream, const OutcomeCounts &counts) {
                this->sharing.report({this->directory.at(upstream).flowTag,
                                      internal::toWire(counts.failures),
                                      internal::toWire(counts.requests), 0, false});
            }};
}

OutcomeSharingHooks Balancer::sharingHooks()
{
    return {[this]() -> std::optional<ViewSource> {
                const ViewSource &source = this->sources.current();
                // A direct source is in another domain.
                if (source.isStore() || source.direct)
                    return std::nullopt;
                return source;
            },
            this->hooks.connectOutcomes,
            [this](const OutcomeReport &report) { this->onReport(report); },
            [this] {
                return this->ejections();
            }};
}

SourcedStoreHooks Balancer::sourceHooks()
{
    return {this->hooks.connectPeer, [this] { this->mirror.refusePendingDirect(); },
            [this](Duration grace) {
                this->directory.extendGrace(this->scheduler.now() + grace);
            }};
}

ObjectMirrorHooks Balancer::mirrorHooks()
{
    return {[this](const ViewRequest &request) { return this->mayServe(request); },
            [this](ViewKind kind) { return this->view.snapshot(kind); },
            [this] {
                return this->freshness();
            }};
}

MemberSweeperHooks Balancer::sweeperHooks()
{
    return {[this](Endpoint peer, MemberSweeperHooks::CheckHandler handler) {
                this->connect(peer, std::move(handler));
            },
            [this] {
                return this->sourcedStore.isDirect();
            }};
}

DomainReadinessHooks Balancer::readinessHooks()
{
    return {[this](Endpoint peer, DomainReadinessHooks::ConnectHandler handler) {
                this->connect(peer, std::move(handler));
            },
            [this] {
                return ReadinessFacts{this->supply(), this->domainUpstreams.lastAnswerElsewhere(),
                                      this->sourcedStore.sourceLostAt()};
            },
            [this] {
                return this->sources.otherInstances();
            }};
}

DomainSupply Balancer::supply() const
{
    const DomainSupply supply = this->domainUpstreams.supply();
    return supply == DomainSupply::Own && this->isolated ? DomainSupply::OwnUnusable : supply;
}

void Balancer::updateIsolation()
{
    const bool isolated
        = this->sourcedStore.sourceLostAt().has_value()
          && this->steering.failureDetector().reachesNoUpstream(this->scheduler.now());
    if (std::exchange(this->isolated, isolated) == isolated)
        return;
    this->balancerLog.connectivity(isolated);
    if (isolated)
        this->readiness.onSuspicion();
    else
        this->readiness.onChange();
}

void Balancer::connect(Endpoint peer, std::function<void(bool connected)> handler)
{
    this->hooks.probe(peer, [handler = std::move(handler)](ProbeResult result) {
        handler(result == ProbeResult::Connected);
    });
}

void Balancer::startProbe(UpstreamIndex upstream)
{
    this->counters.add("probe");
    const TimePoint startedAt = this->scheduler.now();
    this->hooks.probe(this->directory.at(upstream).entry.address, [this, upstream,
                                                                   startedAt](ProbeResult result) {
        this->steering.onProbeResult(upstream, result, startedAt, this->scheduler.now());
        this->updateIsolation();
        this->scheduleTick();
    });
}

void Balancer::startReferenceProbe(UpstreamIndex upstream)
{
    this->counters.add("probe_witness");
    const TimePoint startedAt = this->scheduler.now();
    this->hooks.probe(this->directory.at(upstream).entry.address, [this, upstream,
                                                                   startedAt](ProbeResult result) {
        this->steering.onReferenceResult(upstream, result, startedAt, this->scheduler.now());
        this->updateIsolation();
        this->scheduleTick();
    });
}

void Balancer::startInstanceProbe(DomainIndex domain)
{
    const auto peer
        = this->sources.instanceIn(this->directory.domainName(domain), this->instanceProbes++);
    if (!peer)
        return;
    this->counters.add("probe_instance");
    const TimePoint startedAt = this->scheduler.now();
    this->connect(*peer, [this, domain, startedAt](bool connected) {
        if (connected)
            this->steering.onInstanceReached(domain, startedAt, this->scheduler.now());
    });
}

void Balancer::start()
{
    this->startedAt = this->scheduler.now();
    this->reportStatus();
    this->sweeper.start();
    if (!this->options.firstStart) {
        this->view.start();
        return;
    }
    this->registration.ensure();
    this->startTimer
        = this->scheduler.after(internal::firstStartDelay, [this] { this->view.start(); });
}

void Balancer::beginStop()
{
    if (std::exchange(this->stopping, true))
        return;
    this->balancerLog.stop(this->options.stopDelay);
    // The routers remove this instance after its next readiness checks; packets arrive until then.
    this->mirror.refuseAllPending();
    this->readiness.stop();
    this->stopTimer
        = this->scheduler.after(this->options.stopDelay, [this] { this->hooks.onStopped(); });
}

SteeringDecision Balancer::decide(const FlowPacket &packet, std::span<const std::byte> datagram,
                                  TimePoint now)
{
    const SteeringDecision decision = this->steering.decide(packet, now);
    ++this->decisions.at(static_cast<std::size_t>(decision.reason));
    this->balancerLog.decision(decision, packet, datagram);
    if (const UpstreamIndex trial = this->steering.takeTrial(); trial != noUpstream)
        this->ejection.onTrialPlaced(trial);
    return decision;
}

InstanceExplanation Balancer::explain(Endpoint route, std::optional<Endpoint> caller) const
{
    InstanceExplanation result;
    result.instance = this->options.self.name;
    result.domain = this->options.self.domain;
    result.notReadyReason = this->notReadyReason();
    result.viewAge = this->sourcedStore.age();
    result.flow.address = route;
    if (this->ready)
        result.flow = this->steering.explain(route, caller, this->scheduler.now());
    return result;
}

std::string_view Balancer::notReadyReason() const
{
    if (!this->ready)
        return "view_incomplete";
    if (this->stopping)
        return "stopping";
    if (this->readiness.isStarting())
        return "checking_other_domains";
    return this->readiness.isWithdrawn() ? "withdrawn" : "";
}

void Balancer::scheduleTick()
{
    const auto next = this->steering.nextTick();
    if (!next)
        return;
    if (this->tickScheduledFor && *this->tickScheduledFor <= *next + internal::tickGranularity)
        return;
    const TimePoint now = this->scheduler.now();
    const TimePoint at = std::max(*next, now + internal::tickGranularity);
    this->tickScheduledFor = at;
    this->tickTimer = this->scheduler.after(at - now, [this] { this->onTick(); });
}

void Balancer::onTick()
{
    this->tickScheduledFor.reset();
    this->steering.tick(this->scheduler.now());
    this->updateIsolation();
    this->scheduleTick();
}

void Balancer::reportStatus()
{
    this->balancerLog.status();
    this->statusTimer
        = this->scheduler.after(internal::statusInterval, [this] { this->reportStatus(); });
}

void Balancer::onViewChange()
{
    this->updateIsolation();
    this->scheduleTick();
    this->ejection.setInstancesPerDomain(this->sources.instancesInDomain());
    if (!this->view.isComplete())
        return;
    if (!std::exchange(this->ready, true))
        this->becomeReady();
    if (!this->stopping && !this->view.hasMember(this->options.self))
        this->registration.ensure(this->view.storeEra());
    this->readiness.onChange();
}

void Balancer::becomeReady()
{
    this->sources.onViewComplete();
    this->readyAt = this->scheduler.now();
    if (this->options.ejection && this->hooks.connectOutcomes)
        this->sharing.start();
    const bool late = this->scheduler.now() - this->startedAt > internal::maxPacketWait;
    this->hooks.onReady(late);
    this->balancerLog.ready();
    if (!this->stopping)
        this->readiness.start();
}

void Balancer::onLivenessChange(UpstreamIndex upstream, Liveness before, std::string_view evidence)
{
    this->balancerLog.livenessChange(upstream, before, evidence);
    const Upstream &changed = this->directory.at(upstream);
    const bool suspect = changed.health.liveness() != Liveness::Alive;
    if (suspect && changed.entry.domain != this->options.self.domain)
        this->readiness.onSuspicion();
    else
        this->readiness.onChange();
}

void Balancer::onOutcome(const RequestObservation &observation)
{
    if (this->hooks.latency.onOutcome)
        this->hooks.latency.onOutcome(observation);
    if (this->options.learnedCapacity)
        this->capacity.onOutcome(observation, this->scheduler.now());
    const Route *route = this->routes.find(observation.route);
    if (this->options.ejection && route != nullptr && route->objective > Duration::zero())
        this->ejection.observe(observation, this->scheduler.now());
}

void Balancer::onEjectionChange(const EjectionChange &change)
{
    this->balancerLog.ejectionChange(change);
    const bool byOwnTrials = change.kind == EjectionChange::Kind::Reinstated
                             && change.evidence == EjectionEvidence::Trial;
    if (byOwnTrials)
        this->sharing.report({this->directory.at(change.upstream).flowTag, 0, 0, 0, true});
}

void Balancer::onReport(const OutcomeReport &report)
{
    this->counters.add("outcome_report");
    const UpstreamIndex upstream = this->directory.findByTag(report.flowTag);
    if (upstream == noUpstream)
        return;
    const TimePoint now = this->scheduler.now();
    if (report.reinstated)
        this->ejection.onReportedReturn(upstream, now);
    if (report.requests > 0)
        this->ejection.addReported(upstream, {report.failures, report.requests}, now);
    // Later, this instance decides from its own outcomes: another one may have missed a return.
    if (report.ejectedMs > 0 && now - this->readyAt < internal::adoptionTime)
        this->ejection.adopt(upstream, std::chrono::milliseconds(report.ejectedMs), now);
}

OutcomeReports Balancer::ejections() const
{
    OutcomeReports reports;
    this->ejection.visitEjected(
        [&](UpstreamIndex upstream, Duration delay) {
            reports.push_back({this->directory.at(upstream).flowTag, 0, 0,
                               internal::toWire(toMilliseconds(delay)), false});
        },
        this->scheduler.now());
    return reports;
}

void Balancer::onDirectoryChange(const DirectoryChange &change)
{
    // Neither a new process nor another upstream at this index has failed a request.
    if (change.kind == DirectoryChange::Kind::Restarted
        || change.kind == DirectoryChange::Kind::Added)
        this->ejection.forget(change.upstream);
    this->balancerLog.directoryChange(change);
}

bool Balancer::mayServe(const ViewRequest &request)
{
    if (this->stopping)
        return false;
    // A list is mostly for an instance that starts: an old view, whose age it is told, is better
    // than none.
    if (!request.direct)
        return !request.since || this->sourcedStore.isConnected();
    if (!this->sources.followsStore())
        this->sources.onDirectRequest(this->scheduler.now());
    return this->sourcedStore.isDirect() && this->view.isComplete();
}

ReplyFreshness Balancer::freshness() const
{
    const Duration grace = this->directory.graceEnd() - this->scheduler.now();
    return {this->sourcedStore.age(), std::max(grace, Duration::zero())};
}

} // namespace bulrushgap::balance
