#include "capacity/CapacityLearner.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** A change of the factor by this ratio, up or down, is reported. */
constexpr double reportedChange = 2.0;

/** \returns whether the time of the outcome depends on the speed of the upstream. */
bool hasServiceTime(RequestOutcome outcome)
{
    // A refusal is fast whatever the upstream's speed, and an unanswered request has no time.
    return outcome == RequestOutcome::Answered || outcome == RequestOutcome::Late;
}

} // namespace internal

CapacityLearner::CapacityLearner(UpstreamDirectory &directory, CapacityChangeHandler onChange)
    : directory(directory)
    , onChange(std::move(onChange))
{}

void CapacityLearner::onOutcome(const RequestObservation &observation, TimePoint now)
{
    if (!internal::hasServiceTime(observation.outcome))
        return;
    UsualTime &usual = this->byRoute[observation.route.key()];
    usual.add(observation.time);
    this->directory.at(observation.upstream).capacity.add(usual.ratioOf(observation.time), now);
    this->reportChange(observation.upstream, now);
}

void CapacityLearner::reportChange(UpstreamIndex upstream, TimePoint now)
{
    Upstream &subject = this->directory.at(upstream);
    const double factor = subject.capacity.factor(now);
    const double before = subject.reportedCapacity;
    if (factor < before * internal::reportedChange && factor > before / internal::reportedChange)
        return;
    subject.reportedCapacity = factor;
    if (this->onChange)
        this->onChange(upstream, before, factor);
}

CapacitySpread spreadOf(const UpstreamDirectory &directory, TimePoint now)
{
    CapacitySpread spread;
    double sum = 0.0;
    std::size_t count = 0;
    for (UpstreamIndex index = 0; index < directory.size(); ++index) {
        const Upstream &upstream = directory.at(index);
        if (!upstream.registered)
            continue;
        const double factor = upstream.capacity.factor(now);
        spread.least = std::min(spread.least, factor);
        sum += factor;
        ++count;
    }
    if (count > 0)
        spread.mean = sum / static_cast<double>(count);
    return spread;
}

} // namespace bulrushgap::balance
