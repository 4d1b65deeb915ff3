#include "health/FailureDetector.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** A tick later than this means that the process was paused and answers wait in its sockets. */
constexpr Duration pauseTolerance = std::chrono::milliseconds(40);

/** A reference probe that connects validates probes started at most this long after it, and all
 * earlier ones. */
constexpr Duration referenceTolerance = std::chrono::milliseconds(30);

/** Interval between the probes that check whether an unreachable domain is back. */
constexpr Duration domainCheckInterval = std::chrono::milliseconds(250);

/** While the refusals of an upstream go on, its neighbours are probed only if their domain has not
 * answered for this long. */
constexpr Duration recentAnswer = std::chrono::milliseconds(200);

/** Callers acknowledge answers this much later than the upstream sent them, so an upstream may
 * become suspect in a partition before the last answer of its domain is recorded. */
constexpr Duration acknowledgmentDelay = std::chrono::milliseconds(200);

} // namespace internal

FailureDetector::FailureDetector(UpstreamDirectory &directory, FailureDetectorHooks hooks,
                                 std::string domain)
    : directory(directory)
    , hooks(std::move(hooks))
    , domains([this](const ReachabilityChange &change, TimePoint now) {
        this->onReachabilityChange(change, now);
    })
    , domainProbes(directory, this->domains, std::move(domain))
{}

void FailureDetector::expectAnswer(UpstreamIndex upstream, TimePoint now, Duration within)
{
    const Upstream &subject = this->directory.at(upstream);
    this->directory.at(upstream).health.expectAnswer(now, now + within);
    this->monitor(upstream);
    this->schedule(now + within);
    if (!this->domains.isUnreachable(subject.domainIndex))
        return;
    this->markSuspect(upstream, "domain_unreachable", now);
    if (const auto probe = subject.health.probeAt())
        this->schedule(std::max(*probe, now));
}

void FailureDetector::onAnswer(UpstreamIndex upstream, TimePoint now)
{
    this->lastAnswerAt = now;
    this->instance.onContact();
    this->domains.onAnswer(this->directory.at(upstream).domainIndex, now);
    UpstreamHealth &health = this->directory.at(upstream).health;
    const Liveness before = health.liveness();
    health.onAnswer(now);
    if (before != Liveness::Alive)
        this->reportChange(upstream, before, "answer_acknowledged", now);
}

void FailureDetector::markSuspect(UpstreamIndex upstream, std::string_view evidence, TimePoint now)
{
    if (this->directory.at(upstream).health.markSuspect(now))
        this->reportChange(upstream, Liveness::Alive, evidence, now);
}

void FailureDetector::onReferenceResult(UpstreamIndex upstream, ProbeResult result,
                                        TimePoint startedAt, TimePoint now)
{
    if (result == ProbeResult::Connected) {
        this->onConnected(upstream, startedAt, now);
        return;
    }
    if (result == ProbeResult::TimedOut && !this->domains.references().hasNear(startedAt))
        return;
    const Upstream &subject = this->directory.at(upstream);
    this->domains.onProbeFailed(subject.domainIndex,
                                {upstream, result, startedAt, true, subject.serviceIndex},
                                this->directory.domainSize(subject.domainIndex), now);
}

void FailureDetector::onConnected(UpstreamIndex upstream, TimePoint startedAt, TimePoint now)
{
    this->lastConnectedProbe = std::max(this->lastConnectedProbe, startedAt);
    this->lastAnswerAt = now;
    this->instance.onContact();
    this->domains.onConnected(this->directory.at(upstream).domainIndex, startedAt, now);
}

void FailureDetector::onProbeResult(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt,
                                    TimePoint now)
{
    if (result == ProbeResult::Connected)
        this->onConnected(upstream, startedAt, now);
    if (result == ProbeResult::TimedOut && !this->domains.references().hasNear(startedAt))
        result = ProbeResult::Inconclusive;
    if (result == ProbeResult::Refused)
        this->discardUnprovenRefusals(upstream, now);
    UpstreamHealth &health = this->directory.at(upstream).health;
    const Liveness before = health.liveness();
    const bool changed = health.onProbeResult(result, now);
    if (result == ProbeResult::Inconclusive)
        this->instance.onProbeLost(startedAt, now);
    this->monitor(upstream);
    if (const auto next = health.probeAt())
        this->schedule(*next);
    if (changed)
        this->reportChange(upstream, before, "probe", now);
    if (result == ProbeResult::TimedOut || result == ProbeResult::Refused)
        this->onProbeFailed(upstream, result, startedAt, now);
}

void FailureDetector::discardUnprovenRefusals(UpstreamIndex upstream, TimePoint now)
{
    Upstream &subject = this->directory.at(upstream);
    const auto since = subject.health.refusedSince();
    if (!since)
        return;
    const DomainIndex domain = subject.domainIndex;
    const bool answered = this->domains.lastAnswer(domain) > *since;
    const DomainSize size = this->directory.domainSize(domain);
    const std::size_t others = size.upstreams - (subject.registered ? 1 : 0);
    const bool proven
        = subject.health.isConfirmedDown() || others == 0
          || this->domains.hasFailedBeside(domain, upstream, subject.serviceIndex, size);
    if (answered || !proven)
        subject.health.discardRefusals(now);
}

void FailureDetector::onProbeFailed(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt,
                                    TimePoint now)
{
    const Upstream &subject = this->directory.at(upstream);
    this->domains.onProbeFailed(subject.domainIndex,
                                {upstream, result, startedAt, false, subject.serviceIndex},
                                this->directory.domainSize(subject.domainIndex), now);
    if (subject.health.liveness() == Liveness::Alive || subject.health.isConfirmedDown())
        return;
    const bool first = result == ProbeResult::TimedOut || !subject.health.hasDiscardedRefusals();
    this->probeNeighbours(upstream, first ? startedAt : now - internal::recentAnswer, now);
}

void FailureDetector::reportChange(UpstreamIndex upstream, Liveness before,
                                   std::string_view evidence, TimePoint now)
{
    this->monitor(upstream);
    UpstreamHealth &health = this->directory.at(upstream).health;
    if (const auto next = health.probeAt())
        this->schedule(std::max(*next, now));
    if (this->hooks.onLivenessChange)
        this->hooks.onLivenessChange(upstream, before, evidence);
    if (health.isConfirmedDown())
        this->hooks.onConfirmedDown(upstream);
    const auto outage = health.takeEndedOutage();
    if (outage && this->hooks.onReturn)
        this->hooks.onReturn(upstream, *outage, now);
}

bool FailureDetector::tick(TimePoint now)
{
    if (!this->checkAt || now < *this->checkAt)
        return false;
    const bool paused = now - *this->checkAt > internal::pauseTolerance;
    this->checkAt.reset();
    if (paused) {
        this->cancelExpectedAnswers(now);
        this->domains.discardFailures();
        this->instance.onContact();
        this->checkUnreachableDomains(now);
        return true;
    }
    this->checked.swap(this->monitored);
    this->monitored.clear();
    for (const UpstreamIndex upstream : this->checked) {
        this->directory.at(upstream).isMonitored = false;
        this->check(upstream, now);
    }
    this->checked.clear();
    this->checkUnreachableDomains(now);
    return false;
}

void FailureDetector::check(UpstreamIndex upstream, TimePoint now)
{
    Upstream &subject = this->directory.at(upstream);
    UpstreamHealth &health = subject.health;
    if (!subject.registered && subject.openFlows == 0) {
        // The upstream is deregistered and no flow depends on its state.
        health.reset();
        return;
    }
    if (health.checkOverdue(now))
        this->reportChange(upstream, Liveness::Alive, "answer_overdue", now);
    if (const auto due = health.answerDueAt()) {
        this->monitor(upstream);
        this->schedule(*due);
    }
    const auto probe = health.probeAt();
    if (!probe || this->needsNoProbe(subject))
        return;
    if (now < *probe) {
        this->monitor(upstream);
        this->schedule(*probe);
        return;
    }
    this->startProbe(upstream, now);
}

void FailureDetector::startProbe(UpstreamIndex upstream, TimePoint now)
{
    UpstreamHealth &health = this->directory.at(upstream).health;
    const bool isSecond = health.pendingProbeCount() > 0;
    health.probeStarted(now);
    this->hooks.startProbe(upstream);
    this->probeReference(upstream, now);
    if (isSecond)
        this->probeNeighbours(upstream, health.suspectedAt(), now);
    if (const auto next = health.probeAt()) {
        this->monitor(upstream);
        this->schedule(*next);
    }
}

void FailureDetector::probeReference(UpstreamIndex subject, TimePoint now)
{
    // One reference probe serves all probes of the same time window.
    if (now - this->referenceProbedAt < internal::referenceTolerance)
        return;
    const UpstreamIndex reference = this->domainProbes.reference(subject, now);
    if (reference == noUpstream)
        return;
    this->referenceProbedAt = now;
    this->hooks.startReferenceProbe(reference);
}

void FailureDetector::probeNeighbours(UpstreamIndex subject, TimePoint since, TimePoint now)
{
    const DomainIndex domain = this->directory.at(subject).domainIndex;
    if (this->domains.isUnreachable(domain) || this->domains.lastAnswer(domain) > since)
        return;
    const DomainProbes::Selection neighbours = this->domainProbes.neighbours(subject, now);
    if (neighbours.front() != noUpstream)
        this->domains.onProbesStarted(domain, now);
    for (const UpstreamIndex neighbour : neighbours) {
        if (neighbour != noUpstream)
            this->hooks.startReferenceProbe(neighbour);
    }
    const UpstreamIndex outside = this->domainProbes.outside(subject);
    if (outside != noUpstream)
        this->hooks.startReferenceProbe(outside);
    if (this->hooks.startInstanceProbe)
        this->hooks.startInstanceProbe(domain);
}

void FailureDetector::onReachabilityChange(const ReachabilityChange &change, TimePoint now)
{
    if (this->hooks.onReachabilityChange)
        this->hooks.onReachabilityChange(change);
    if (!change.unreachable) {
        this->clearSuspicions(change, now);
        return;
    }
    if (!this->domainCheckAt)
        this->domainCheckAt = now + internal::domainCheckInterval;
    this->schedule(*this->domainCheckAt);
    this->suspectPending(change.domain, now);
}

void FailureDetector::suspectPending(DomainIndex domain, TimePoint now)
{
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        const Upstream &upstream = this->directory.at(index);
        if (upstream.domainIndex == domain && upstream.outstanding > 0)
            this->markSuspect(index, "domain_unreachable", now);
    }
}

void FailureDetector::clearSuspicions(const ReachabilityChange &change, TimePoint now)
{
    const TimePoint lost = change.lastAnswer - internal::acknowledgmentDelay;
    this->reportDomainReturn(change.domain, lost, now);
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        Upstream &upstream = this->directory.at(index);
        if (upstream.domainIndex != change.domain)
            continue;
        const Liveness before = upstream.health.liveness();
        if (upstream.health.suspectedAt() > lost && upstream.health.clearSuspicion(now)) {
            this->reportChange(index, before, "domain_reachable", now);
        } else if (const auto probe = upstream.health.probeAt()) {
            this->monitor(index);
            this->schedule(std::max(*probe, now));
        }
    }
}

void FailureDetector::reportDomainReturn(DomainIndex domain, TimePoint lost, TimePoint now)
{
    if (!this->hooks.onReturn)
        return;
    // Most upstreams of the domain were never probed one by one. Their processes may have ended
    // like those whose hosts refused connections, and the registry may not have told it yet.
    Outage outage{Outage::Kind::TimedOut, lost, now};
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        const Upstream &upstream = this->directory.at(index);
        if (upstream.domainIndex == domain && upstream.health.liveness() == Liveness::Refusing)
            outage.kind = Outage::Kind::Refused;
    }
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        const Upstream &upstream = this->directory.at(index);
        if (upstream.domainIndex == domain && upstream.registered)
            this->hooks.onReturn(index, outage, now);
    }
}

void FailureDetector::checkUnreachableDomains(TimePoint now)
{
    if (this->domainCheckAt && now >= *this->domainCheckAt) {
        for (DomainIndex domain = 0; domain < this->domains.domainCount(); ++domain) {
            if (!this->domains.isUnreachable(domain))
                continue;
            const UpstreamIndex upstream = this->domainProbes.next(domain);
            if (upstream == noUpstream)
                this->domains.onEmpty(domain, now);
            else
                this->hooks.startReferenceProbe(upstream);
        }
        this->domainCheckAt.reset();
        if (this->domains.unreachableCount() > 0)
            this->domainCheckAt = now + internal::domainCheckInterval;
    }
    if (this->domainCheckAt)
        this->schedule(*this->domainCheckAt);
}

bool FailureDetector::needsNoProbe(const Upstream &upstream) const
{
    return this->domains.isUnreachable(upstream.domainIndex)
           && (upstream.outstanding == 0 || upstream.health.isConfirmedDown());
}

void FailureDetector::cancelExpectedAnswers(TimePoint now)
{
    for (const UpstreamIndex upstream : this->monitored)
        this->directory.at(upstream).health.cancelExpectedAnswer();
    // Tick again soon, to start the probes that are due.
    if (!this->monitored.empty())
        this->schedule(now + internal::pauseTolerance);
}

void FailureDetector::monitor(UpstreamIndex upstream)
{
    if (!std::exchange(this->directory.at(upstream).isMonitored, true))
        this->monitored.push_back(upstream);
}

void FailureDetector::schedule(TimePoint at)
{
    this->checkAt = this->checkAt ? std::min(*this->checkAt, at) : at;
}

} // namespace bulrushgap::balance
