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

/** An instance without any answer for this long is isolated; a congested link delays less. */
constexpr Duration isolationTimeout = std::chrono::milliseconds(600);

/** Upstreams examined per search for a reference. */
constexpr std::size_t maxReferenceSamples = 32;

} // namespace internal

FailureDetector::FailureDetector(UpstreamDirectory &directory, FailureDetectorHooks hooks)
    : directory(directory)
    , hooks(std::move(hooks))
{}

void FailureDetector::expectAnswer(UpstreamIndex upstream, TimePoint now, Duration within)
{
    this->directory.at(upstream).health.expectAnswer(now, now + within);
    this->monitor(upstream);
    this->schedule(now + within);
}

void FailureDetector::onAnswer(UpstreamIndex upstream, TimePoint now)
{
    UpstreamHealth &health = this->directory.at(upstream).health;
    const Liveness before = health.liveness();
    health.onAnswer(now);
    this->lastAnswerAt = now;
    if (before != Liveness::Alive)
        this->reportChange(upstream, before, "answer_acknowledged", now);
}

void FailureDetector::markSuspect(UpstreamIndex upstream, std::string_view evidence, TimePoint now)
{
    if (this->directory.at(upstream).health.markSuspect(now))
        this->reportChange(upstream, Liveness::Alive, evidence, now);
}

void FailureDetector::onReferenceConnected(TimePoint startedAt, TimePoint now)
{
    this->lastConnectedProbe = std::max(this->lastConnectedProbe, startedAt);
    this->lastAnswerAt = now;
}

void FailureDetector::onProbeResult(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt,
                                    TimePoint now)
{
    if (result == ProbeResult::Connected)
        this->onReferenceConnected(startedAt, now);
    const bool referenceReached
        = this->lastConnectedProbe + internal::referenceTolerance >= startedAt;
    if (result == ProbeResult::TimedOut && !referenceReached)
        result = ProbeResult::Inconclusive;
    UpstreamHealth &health = this->directory.at(upstream).health;
    const Liveness before = health.liveness();
    bool changed = health.onProbeResult(result, now);
    if (result == ProbeResult::Inconclusive
        && now - this->lastAnswerAt > internal::isolationTimeout)
        changed = health.countInconclusiveAsTimeouts(now) || changed;
    this->monitor(upstream);
    if (const auto next = health.probeAt())
        this->schedule(*next);
    if (changed)
        this->reportChange(upstream, before, "probe", now);
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
        return true;
    }
    this->checked.swap(this->monitored);
    this->monitored.clear();
    for (const UpstreamIndex upstream : this->checked) {
        this->directory.at(upstream).isMonitored = false;
        this->check(upstream, now);
    }
    this->checked.clear();
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
    if (!probe)
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
    health.probeStarted(now);
    this->hooks.startProbe(upstream);
    this->probeReference(upstream, now);
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
    const UpstreamIndex reference = this->chooseReference(subject);
    if (reference == noUpstream)
        return;
    this->referenceProbedAt = now;
    this->hooks.startReferenceProbe(reference);
}

UpstreamIndex FailureDetector::chooseReference(UpstreamIndex subject)
{
    UpstreamIndex best = noUpstream;
    const std::size_t samples = std::min(internal::maxReferenceSamples, this->directory.size());
    for (std::size_t i = 0; i < samples; ++i) {
        this->nextReference
            = static_cast<UpstreamIndex>((this->nextReference + 1) % this->directory.size());
        const Upstream &candidate = this->directory.at(this->nextReference);
        const bool usable = this->nextReference != subject && candidate.registered
                            && candidate.health.liveness() == Liveness::Alive;
        if (!usable)
            continue;
        const bool fresher
            = best == noUpstream
              || candidate.health.lastAnswer() > this->directory.at(best).health.lastAnswer();
        if (fresher)
            best = this->nextReference;
    }
    return best;
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
