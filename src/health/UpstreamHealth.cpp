#include "health/UpstreamHealth.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** The second probe of a suspicion starts while the first one is on its way. */
constexpr Duration probeStagger = std::chrono::milliseconds(50);

/** Refusals that prove an upstream dead, and the pause between them. */
constexpr unsigned provingRefusals = 2;
constexpr Duration refusalInterval = std::chrono::milliseconds(100);

constexpr Duration firstProbeInterval = std::chrono::milliseconds(150);
constexpr Duration longestProbeInterval = std::chrono::seconds(1);

/** Probes without an answer after which the machine counts as unreachable. A lost datagram or a
 * short pause of this instance fails a single one. */
constexpr unsigned unreachableTimeouts = 2;

/** For this long after a probe ended a suspicion, a new one is not ended by a probe: connections
 * work, but packets of flows are not answered. */
constexpr Duration probeDistrust = std::chrono::seconds(2);

} // namespace internal

std::string_view toString(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return "alive";
    case Liveness::Suspect:
        return "suspect";
    case Liveness::Refusing:
        return "refusing";
    case Liveness::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

void UpstreamHealth::expectAnswer(TimePoint now, TimePoint due)
{
    if (this->belief != Liveness::Alive || due < now)
        return;
    this->answerDue = this->answerDue ? std::min(*this->answerDue, due) : due;
}

void UpstreamHealth::answered(TimePoint now)
{
    this->answeredAt = now;
    this->answerDue.reset();
    this->clearedAt = TimePoint{};
    if (this->belief != Liveness::Alive)
        this->enter(Liveness::Alive, now);
}

bool UpstreamHealth::checkOverdue(TimePoint now)
{
    if (!this->answerDue || now < *this->answerDue)
        return false;
    this->answerDue.reset();
    return this->suspect(now);
}

bool UpstreamHealth::suspect(TimePoint now)
{
    if (this->belief != Liveness::Alive)
        return false;
    this->enter(Liveness::Suspect, now);
    return true;
}

bool UpstreamHealth::probed(ProbeResult result, TimePoint now)
{
    if (this->probesInFlight > 0)
        --this->probesInFlight;
    if (this->belief == Liveness::Alive)
        return false;
    const Liveness before = this->belief;
    this->probeInterval = std::min(this->probeInterval * 2, internal::longestProbeInterval);
    this->nextProbe = now + this->probeInterval;
    switch (result) {
    case ProbeResult::Refused:
        this->timeouts = 0;
        this->belief = Liveness::Refusing;
        if (++this->refusals == 1)
            this->nextProbe = now + internal::refusalInterval;
        break;
    case ProbeResult::TimedOut:
        this->refusals = 0;
        ++this->timeouts;
        this->judgeTimeouts(now);
        break;
    case ProbeResult::Undecided:
        this->refusals = 0;
        ++this->undecided;
        this->judgeTimeouts(now);
        break;
    case ProbeResult::Connected:
        this->timeouts = 0;
        this->undecided = 0;
        this->refusals = 0;
        this->belief = Liveness::Suspect;
        if (this->clearedAt == TimePoint{} || now - this->clearedAt > internal::probeDistrust) {
            this->enter(Liveness::Alive, now);
            this->clearedAt = now;
        }
        break;
    }
    return this->belief != before || this->refusals == internal::provingRefusals;
}

bool UpstreamHealth::acceptUndecided(TimePoint now)
{
    const Liveness before = this->belief;
    this->timeouts += std::exchange(this->undecided, 0U);
    this->judgeTimeouts(now);
    return this->belief != before;
}

void UpstreamHealth::judgeTimeouts(TimePoint now)
{
    if (this->timeouts >= internal::unreachableTimeouts)
        this->belief = Liveness::Unreachable;
    else if (this->probesInFlight == 0)
        this->nextProbe = now;
    else
        this->nextProbe.reset();
}

bool UpstreamHealth::isProvenDead() const
{
    return this->belief == Liveness::Unreachable
           || (this->belief == Liveness::Refusing && this->refusals >= internal::provingRefusals);
}

void UpstreamHealth::probeStarted(TimePoint now)
{
    ++this->probesInFlight;
    this->nextProbe.reset();
    const unsigned known = this->timeouts + this->probesInFlight;
    if (this->belief == Liveness::Suspect && known < internal::unreachableTimeouts)
        this->nextProbe = now + internal::probeStagger;
}

void UpstreamHealth::enter(Liveness next, TimePoint now)
{
    this->belief = next;
    this->timeouts = 0;
    this->undecided = 0;
    this->refusals = 0;
    this->probeInterval = internal::firstProbeInterval;
    this->nextProbe.reset();
    if (next == Liveness::Suspect)
        this->nextProbe = now;
}

} // namespace bulrushgap::balance
