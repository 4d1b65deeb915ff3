#include "health/FailureDetector.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** A tick that comes later than this shows a pause of this process: answers wait in its sockets. */
constexpr Duration pauseTolerance = std::chrono::milliseconds(40);

/** A probe of a witness speaks for probes that start this much later or at any time before. */
constexpr Duration witnessTolerance = std::chrono::milliseconds(30);

/** An instance that reaches nobody for this long is cut off; a full link delays less. */
constexpr Duration isolationTime = std::chrono::milliseconds(600);

/** Upstreams looked at in the search for a witness. */
constexpr std::size_t witnessSamples = 32;

} // namespace internal

FailureDetector::FailureDetector(UpstreamDirectory &directory, FailureDetectorHooks hooks)
    : directory(directory)
    , hooks(std::move(hooks))
{}

void FailureDetector::expectAnswer(UpstreamIndex upstream, TimePoint now, Duration within)
{
    this->directory.at(upstream).health.expectAnswer(now, now + within);
    this->watch(upstream);
    this->schedule(now + within);
}

void FailureDetector::answered(UpstreamIndex upstream, TimePoint now)
{
    UpstreamHealth &health = this->directory.at(upstream).health;
    const Liveness before = health.liveness();
    health.answered(now);
    this->lastSignOfLife = now;
    if (before != Liveness::Alive)
        this->believe(upstream, before, "answer_acknowledged", now);
}

void FailureDetector::suspect(UpstreamIndex upstream, std::string_view evidence, TimePoint now)
{
    if (this->directory.at(upstream).health.suspect(now))
        this->believe(upstream, Liveness::Alive, evidence, now);
}

void FailureDetector::witnessed(TimePoint startedAt, TimePoint now)
{
    this->lastConnectedProbe = std::max(this->lastConnectedProbe, startedAt);
    this->lastSignOfLife = now;
}

void FailureDetector::probed(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt,
                             TimePoint now)
{
    if (result == ProbeResult::Connected)
        this->witnessed(startedAt, now);
    const bool witnessReached = this->lastConnectedProbe + internal::witnessTolerance >= startedAt;
    if (result == ProbeResult::TimedOut && !witnessReached)
        result = ProbeResult::Undecided;
    UpstreamHealth &health = this->directory.at(upstream).health;
    const Liveness before = health.liveness();
    bool changed = health.probed(result, now);
    if (result == ProbeResult::Undecided && now - this->lastSignOfLife > internal::isolationTime)
        changed = health.acceptUndecided(now) || changed;
    this->watch(upstream);
    if (const auto next = health.probeAt())
        this->schedule(*next);
    if (changed)
        this->believe(upstream, before, "probe", now);
}

void FailureDetector::believe(UpstreamIndex upstream, Liveness before, std::string_view evidence,
                              TimePoint now)
{
    this->watch(upstream);
    const UpstreamHealth &health = this->directory.at(upstream).health;
    if (const auto next = health.probeAt())
        this->schedule(std::max(*next, now));
    if (this->hooks.onBelief)
        this->hooks.onBelief(upstream, before, evidence);
    if (health.isProvenDead())
        this->hooks.onProvenDead(upstream);
}

void FailureDetector::tick(TimePoint now)
{
    if (!this->checkAt || now < *this->checkAt)
        return;
    const bool paused = now - *this->checkAt > internal::pauseTolerance;
    this->checkAt.reset();
    if (paused) {
        this->excuseAfterPause(now);
        return;
    }
    this->checked.swap(this->watched);
    this->watched.clear();
    for (const UpstreamIndex upstream : this->checked) {
        this->directory.at(upstream).underWatch = false;
        this->check(upstream, now);
    }
    this->checked.clear();
}

void FailureDetector::check(UpstreamIndex upstream, TimePoint now)
{
    Upstream &subject = this->directory.at(upstream);
    UpstreamHealth &health = subject.health;
    if (!subject.listed && subject.openFlows == 0) {
        // It has left, and nothing depends on what is believed of it.
        health.reset();
        return;
    }
    if (health.checkOverdue(now))
        this->believe(upstream, Liveness::Alive, "answer_overdue", now);
    if (const auto due = health.overdueAt()) {
        this->watch(upstream);
        this->schedule(*due);
    }
    const auto probe = health.probeAt();
    if (!probe)
        return;
    if (now < *probe) {
        this->watch(upstream);
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
    this->probeWitness(upstream, now);
    if (const auto next = health.probeAt()) {
        this->watch(upstream);
        this->schedule(*next);
    }
}

void FailureDetector::probeWitness(UpstreamIndex subject, TimePoint now)
{
    // One witness speaks for all probes of the same time.
    if (now - this->witnessStartedAt < internal::witnessTolerance)
        return;
    const UpstreamIndex witness = this->chooseWitness(subject);
    if (witness == noUpstream)
        return;
    this->witnessStartedAt = now;
    this->hooks.startWitness(witness);
}

UpstreamIndex FailureDetector::chooseWitness(UpstreamIndex subject)
{
    UpstreamIndex best = noUpstream;
    const std::size_t samples = std::min(internal::witnessSamples, this->directory.size());
    for (std::size_t i = 0; i < samples; ++i) {
        this->nextWitness
            = static_cast<UpstreamIndex>((this->nextWitness + 1) % this->directory.size());
        const Upstream &candidate = this->directory.at(this->nextWitness);
        const bool usable = this->nextWitness != subject && candidate.listed
                            && candidate.health.liveness() == Liveness::Alive;
        if (!usable)
            continue;
        const bool fresher
            = best == noUpstream
              || candidate.health.lastAnswer() > this->directory.at(best).health.lastAnswer();
        if (fresher)
            best = this->nextWitness;
    }
    return best;
}

void FailureDetector::excuseAfterPause(TimePoint now)
{
    for (const UpstreamIndex upstream : this->watched)
        this->directory.at(upstream).health.excuse();
    // Probes that are due still have to start.
    if (!this->watched.empty())
        this->schedule(now + internal::pauseTolerance);
}

void FailureDetector::watch(UpstreamIndex upstream)
{
    if (!std::exchange(this->directory.at(upstream).underWatch, true))
        this->watched.push_back(upstream);
}

void FailureDetector::schedule(TimePoint at)
{
    this->checkAt = this->checkAt ? std::min(*this->checkAt, at) : at;
}

} // namespace bulrushgap::balance
