#include "admission/ColdStartRamp.h"

#include <algorithm>

namespace bulrushgap {

namespace internal {

constexpr std::uint8_t lastRampStep = 3;

/** \returns \a amount times the fraction of \a step (1/8, 1/4, 1/2, 1), rounded down. */
constexpr std::uint16_t rampShare(std::uint16_t amount, std::uint8_t step)
{
    return static_cast<std::uint16_t>(amount >> (lastRampStep - step));
}

} // namespace internal

ColdStartRamp::ColdStartRamp(std::uint8_t weight, const ColdStartSettings &settings)
    : settings(settings)
{
    while (this->step < internal::lastRampStep && this->weight() < weight)
        ++this->step;
}

void ColdStartRamp::onSuccess(Duration latency, std::optional<Duration> averageLatency,
                              TimePoint now)
{
    this->lastAnswer = now;
    if (averageLatency && latency > this->settings.slowFactor * *averageLatency) {
        this->onFault();
        return;
    }
    this->warmthUncertain = false;
    if (this->step == internal::lastRampStep)
        return;
    ++this->successes;
    if (this->successes < this->settings.successesPerStep)
        return;
    this->successes = 0;
    ++this->step;
}

void ColdStartRamp::onFault()
{
    if (this->warmthUncertain)
        this->restart();
    this->warmthUncertain = true;
}

void ColdStartRamp::onReport(const LoadReport &report)
{
    if (!report.warm)
        this->restart();
}

std::uint16_t ColdStartRamp::limit(std::uint16_t slots, TimePoint now) const
{
    const bool idle = now - this->lastAnswer > this->settings.idleLimit;
    if (this->step == 0 || this->warmthUncertain || idle)
        return 1;
    return std::max<std::uint16_t>(1, internal::rampShare(slots, this->step));
}

std::uint8_t ColdStartRamp::weight() const
{
    return static_cast<std::uint8_t>(internal::rampShare(fullWeight, this->step));
}

void ColdStartRamp::restart()
{
    this->step = 0;
    this->successes = 0;
}

} // namespace bulrushgap
