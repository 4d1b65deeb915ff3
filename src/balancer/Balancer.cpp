#include "balancer/Balancer.h"

#include "steering/FlowNames.h"

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

std::string_view livenessCounter(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return "upstream_alive";
    case Liveness::Suspect:
        return "upstream_suspect";
    case Liveness::Refusing:
        return "upstream_refusing";
    case Liveness::Unreachable:
        return "upstream_unreachable";
    }
    return "upstream_alive";
}

std::string_view ejectionEvent(EjectionChange::Kind kind)
{
    switch (kind) {
    case EjectionChange::Kind::Ejected:
        return "upstream_ejected";
    case EjectionChange::Kind::OnTrial:
        return "upstream_on_trial";
    case EjectionChange::Kind::Reinstated:
        return "upstream_reinstated";
    }
    return "upstream_ejected";
}

} // namespace internal

Balancer::Balancer(BalancerOptions options, const Scheduler &scheduler, ObjectSource &store,
                   MemberStore &memberStore, Random &random, Counters &counters, Log &log,
                   BalancerHooks hooks)
    : options(std::move(options))
    , scheduler(scheduler)
    , store(store)
    , counters(counters)
    , log(log)
    , hooks(std::move(hooks))
    , directory([this](const DirectoryChange &change) { this->logDirectoryChange(change); })
    , ejection(this->directory, counters, this->ejectionHooks())
    , capacity(this->directory,
               [this](UpstreamIndex upstream, double before, double after) {
                   this->onCapacityChange(upstream, before, after);
               })
    , steering(
          {this->options.self.domain, this->options.flowCapacity, this->options.learnedCapacity},
          this->directory, this->routes, random, this->steeringHooks())
    , sources(this->options.self, this->options.seeds, this->options.firstStart)
    , sharing(scheduler, random, this->sharingHooks())
    , sourcedStore(scheduler, store, this->sources, counters, log, this->sourceHooks())
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
        this->onReachabilityChange(change);
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
        this->log.info("flow_reset", {{"flow", flowName(flow)},
                                      {"reason", "upstream_unreachable"},
                                      {"upstream", this->directory.at(upstream).entry.name},
                                      {"proof", this->proofOf(upstream)}});
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
    if (isolated)
        this->counters.add("instance_isolated");
    this->log.warn("instance_connectivity",
                   {{"after", isolated ? "isolated" : "connected"},
                    {"any_answer_ms", this->ageOf(this->steering.failureDetector().lastAnswer())},
                    {"age_ms", toMilliseconds(this->sourcedStore.age())}});
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
    this->log.info("stop", {{"flows", this->steering.flowCount()},
                            {"delay_ms", toMilliseconds(this->options.stopDelay)}});
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
    this->logDecision(decision, packet, datagram);
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

void Balancer::logDecision(const SteeringDecision &decision, const FlowPacket &packet,
                           std::span<const std::byte> datagram)
{
    const bool usual = decision.reason == SteeringReason::KnownUpstream;
    if (usual && packet.dataBytes == 0)
        return;
    const std::string_view request
        = packet.dataBytes > 0 ? findRequestId(datagram) : std::string_view();
    if (usual && request.empty())
        return;
    const std::string_view upstream
        = decision.upstream == noUpstream
              ? std::string_view("none")
              : std::string_view(this->directory.at(decision.upstream).entry.name);
    if (packet.syn) {
        const PlacementChoice &choice = this->steering.lastChoice();
        this->log.info("flow_placed", {{"flow", flowName(packet)},
                                       {"copy", packet.acknowledged},
                                       {"outcome", toString(decision.reason)},
                                       {"upstream", upstream},
                                       {"candidates", choice.candidates},
                                       {"score", choice.score},
                                       {"version", this->routes.version()}});
        return;
    }
    this->log.info(usual ? "request" : "packet_refused", {{"flow", flowName(packet)},
                                                          {"request", request},
                                                          {"outcome", toString(decision.reason)},
                                                          {"upstream", upstream},
                                                          {"version", this->routes.version()}});
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
    this->log.info("status", {{"flows", this->steering.flowCount()},
                              {"upstreams", this->directory.registeredCount()},
                              {"version", this->routes.version()},
                              {"instances", this->sources.instances()},
                              {"direct", this->sourcedStore.isDirect() ? 1 : 0},
                              {"source", this->sources.current().toString()},
                              {"age_ms", toMilliseconds(this->sourcedStore.age())},
                              {"store_lists", this->counters.value("store_list")},
                              {"store_watches", this->counters.value("store_watch")},
                              {"store_writes", this->counters.value("store_write")},
                              {"probes", this->counters.value("probe")},
                              {"unreachable_domains", this->unreachableDomains()}});
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
    this->log.info("ready", {{"upstreams", this->directory.registeredCount()},
                             {"routes", this->routes.size()},
                             {"version", this->routes.version()},
                             {"source", this->sources.current().toString()},
                             {"age_ms", toMilliseconds(this->sourcedStore.age())}});
    if (!this->stopping)
        this->readiness.start();
}

std::string_view Balancer::proofOf(UpstreamIndex upstream) const
{
    return toString(this->directory.at(upstream).health.proof());
}

std::int64_t Balancer::ageOf(TimePoint time) const
{
    return time == TimePoint{} ? -1 : toMilliseconds(this->scheduler.now() - time);
}

void Balancer::onLivenessChange(UpstreamIndex upstream, Liveness before, std::string_view evidence)
{
    const Upstream &changed = this->directory.at(upstream);
    const Duration silence = this->scheduler.now() - changed.health.lastAnswer();
    const FailureDetector &detector = this->steering.failureDetector();
    this->counters.add(internal::livenessCounter(changed.health.liveness()));
    this->log.info("upstream_belief",
                   {{"upstream", changed.entry.name},
                    {"domain", changed.entry.domain},
                    {"before", toString(before)},
                    {"after", toString(changed.health.liveness())},
                    {"evidence", evidence},
                    {"last_answer_ms", toMilliseconds(silence)},
                    {"proof", this->proofOf(upstream)},
                    {"any_answer_ms", this->ageOf(detector.lastAnswer())},
                    {"reference_ms", this->ageOf(detector.lastConnectedProbeStart())},
                    {"flows", changed.openFlows}});
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
    const UpstreamEntry &entry = this->directory.at(change.upstream).entry;
    this->log.info(internal::ejectionEvent(change.kind),
                   {{"upstream", entry.name},
                    {"service", entry.service},
                    {"evidence", toString(change.evidence)},
                    {"failures", change.failures},
                    {"requests", change.requests},
                    {"service_share", change.serviceShare},
                    {"delay_ms", toMilliseconds(change.delay)}});
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

void Balancer::onReachabilityChange(const ReachabilityChange &change)
{
    if (change.unreachable)
        this->counters.add("domain_unreachable");
    const std::string_view reachable = "reachable";
    const std::string_view unreachable = "unreachable";
    this->log.info("domain_reachability", {{"domain", this->directory.domainName(change.domain)},
                                           {"before", change.unreachable ? reachable : unreachable},
                                           {"after", change.unreachable ? unreachable : reachable},
                                           {"evidence", change.evidence},
                                           {"failed", change.failedUpstreams},
                                           {"last_answer_ms", this->ageOf(change.lastAnswer)}});
}

void Balancer::onCapacityChange(UpstreamIndex upstream, double before, double after)
{
    this->counters.add(after < before ? "capacity_lowered" : "capacity_raised");
    const UpstreamEntry &entry = this->directory.at(upstream).entry;
    this->log.info("upstream_capacity", {{"upstream", entry.name},
                                         {"service", entry.service},
                                         {"before", before},
                                         {"after", after}});
}

void Balancer::logDirectoryChange(const DirectoryChange &change)
{
    // Neither a new process nor another upstream at this index has failed a request.
    if (change.kind == DirectoryChange::Kind::Restarted
        || change.kind == DirectoryChange::Kind::Added)
        this->ejection.forget(change.upstream);
    const Upstream &changed = this->directory.at(change.upstream);
    const UpstreamEntry &entry = changed.entry;
    this->log.info("upstream_entry", {{"upstream", entry.name},
                                      {"change", toString(change.kind)},
                                      {"service", entry.service},
                                      {"domain", entry.domain},
                                      {"address", entry.address.toString()},
                                      {"revision", changed.revision.number},
                                      {"slow_start_ms", toMilliseconds(entry.slowStart)}});
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
