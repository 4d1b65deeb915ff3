#include "health/UpstreamHealth.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** The second probe of a suspect upstream starts while the first one is still pending. */
constexpr Duration probeStagger = std::chrono::milliseconds(50);

/** Consecutive refusals that confirm an upstream as down, and the interval between them. */
constexpr unsigned confirmingRefusals = 2;
constexpr Duration refusalInterval = std::chrono::milliseconds(100);

constexpr Duration minProbeInterval = std::chrono::milliseconds(150);
constexpr Duration maxProbeInterval = std::chrono::seconds(1);

/** Timed-out probes after which an upstream counts as unreachable. A lost datagram or a short pause
 * of this instance can make a single probe time out. */
constexpr unsigned confirmingTimeouts = 2;

/** If an upstream is suspected again within this period after a probe cleared it, a probe does not
 * clear it: it accepts connections but does not answer the packets of flows. */
constexpr Duration probeDistrustPeriod = std::chrono::seconds(2);

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

std::string_view toString(DownProof proof)
{
    switch (proof) {
    case DownProof::None:
        return "none";
    case DownProof::Refusals:
        return "refusals";
    case DownProof::Timeouts:
        return "timeouts";
    }
    return "none";
}

void UpstreamHealth::expectAnswer(TimePoint now, TimePoint due)
{
    if (this->state != Liveness::Alive || due < now)
        return;
    this->answerDue = this->answerDue ? std::min(*this->answerDue, due) : due;
}

void UpstreamHealth::onAnswer(TimePoint now)
{
    this->answeredAt = now;
    this->answerDue.reset();
    this->clearedByProbeAt = TimePoint{};
    if (this->state != Liveness::Alive)
        this->setState(Liveness::Alive, now);
}

bool UpstreamHealth::checkOverdue(TimePoint now)
{
    if (!this->answerDue || now < *this->answerDue)
        return false;
    this->answerDue.reset();
    return this->markSuspect(now);
}

bool UpstreamHealth::markSuspect(TimePoint now)
{
    if (this->state != Liveness::Alive)
        return false;
    this->setState(Liveness::Suspect, now);
    return true;
}

bool UpstreamHealth::onProbeResult(ProbeResult result, TimePoint now)
{
    if (this->pendingProbes > 0)
        --this->pendingProbes;
    if (this->state == Liveness::Alive)
        return false;
    const Liveness before = this->state;
    this->probeInterval = std::min(this->probeInterval * 2, internal::maxProbeInterval);
    this->nextProbe = now + this->probeInterval;
    if (result != ProbeResult::Inconclusive)
        this->inconclusive = 0;
    switch (result) {
    case ProbeResult::Refused:
        this->timeouts = 0;
        this->state = Liveness::Refusing;
        if (++this->refusals == 1) {
            this->firstRefusalAt = now;
            if (!this->refusalsDiscarded)
                this->nextProbe = now + internal::refusalInterval;
        }
        if (this->refusals == internal::confirmingRefusals)
            this->recordOutage(Outage::Kind::Refused, now);
        break;
    case ProbeResult::TimedOut:
        this->refusals = 0;
        if (++this->timeouts == internal::confirmingTimeouts)
            this->recordOutage(Outage::Kind::TimedOut, now);
        if (this->timeouts >= internal::confirmingTimeouts)
            this->state = Liveness::Unreachable;
        else
            this->scheduleAtOnce(now);
        break;
    case ProbeResult::Inconclusive:
        this->refusals = 0;
        // A verdict that can't be renewed is no longer known to hold.
        if (this->state == Liveness::Unreachable) {
            this->state = Liveness::Suspect;
            this->timeouts = 0;
        }
        if (++this->inconclusive <= internal::confirmingTimeouts) {
            this->probeInterval = internal::minProbeInterval;
            this->scheduleAtOnce(now);
        }
        break;
    case ProbeResult::Connected:
        this->timeouts = 0;
        this->refusals = 0;
        this->state = Liveness::Suspect;
        if (this->clearedByProbeAt == TimePoint{}
            || now - this->clearedByProbeAt > internal::probeDistrustPeriod) {
            this->setState(Liveness::Alive, now);
            this->clearedByProbeAt = now;
        }
        break;
    }
    return this->state != before || this->refusals == internal::confirmingRefusals;
}

void UpstreamHealth::discardRefusals(TimePoint now)
{
    // The process may be gone although that is no proof: it may return as another incarnation.
    this->recordOutage(Outage::Kind::Refused, now);
    this->refusals = 0;
    this->refusalsDiscarded = true;
}

bool UpstreamHealth::clearSuspicion(TimePoint now)
{
    if (this->state == Liveness::Alive)
        return false;
    this->clearedByProbeAt = TimePoint{};
    this->setState(Liveness::Alive, now);
    return true;
}

void UpstreamHealth::scheduleAtOnce(TimePoint now)
{
    if (this->pendingProbes == 0)
        this->nextProbe = now;
    else
        this->nextProbe.reset();
}

DownProof UpstreamHealth::proof() const
{
    if (this->state == Liveness::Unreachable)
        return DownProof::Timeouts;
    const bool refuses
        = this->state == Liveness::Refusing && this->refusals >= internal::confirmingRefusals;
    return refuses ? DownProof::Refusals : DownProof::None;
}

void UpstreamHealth::recordOutage(Outage::Kind kind, TimePoint now)
{
    // A host that lost power refuses connections once it runs again without the process.
    if (this->outage && this->outage->kind == Outage::Kind::Refused)
        kind = Outage::Kind::Refused;
    this->outage = Outage{kind, this->suspectSince, now};
}

std::optional<Outage> UpstreamHealth::takeEndedOutage()
{
    if (this->state == Liveness::Refusing || this->state == Liveness::Unreachable)
        return std::nullopt;
    return std::exchange(this->outage, std::nullopt);
}

void UpstreamHealth::probeStarted(TimePoint now)
{
    ++this->pendingProbes;
    this->nextProbe.reset();
    const unsigned known = this->timeouts + this->pendingProbes;
    if (this->state == Liveness::Suspect && known < internal::confirmingTimeouts)
        this->nextProbe = now + internal::probeStagger;
}

void UpstreamHealth::setState(Liveness next, TimePoint now)
{
    this->state = next;
    this->timeouts = 0;
    this->inconclusive = 0;
    this->refusals = 0;
    this->refusalsDiscarded = false;
    this->probeInterval = internal::minProbeInterval;
    this->nextProbe.reset();
    if (next == Liveness::Suspect) {
        this->suspectSince = now;
        this->nextProbe = now;
    }
}

} // namespace bulrushgap::balance
