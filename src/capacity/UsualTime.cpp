#include "capacity/UsualTime.h"

#include <algorithm>
#include <cmath>

namespace bulrushgap::balance {

namespace internal {

/** Answers from which the median is known. */
constexpr unsigned minSamples = 16;

/** Step of the median at one answer, as a binary logarithm. It shrinks from maxStep with the number
 * of answers, down to minStep, so that the median still follows a change. */
constexpr double maxStep = 0.5;
constexpr double minStep = 0.02;

/** Bounds the counter of answers; by then the step has long been minStep. */
constexpr unsigned maxSamples = 1'000;

/** \returns the binary logarithm of the time in microseconds. */
double logarithmOf(Duration time)
{
    return std::log2(std::max<double>(1.0, static_cast<double>(time.count())));
}

} // namespace internal

bool UsualTime::isKnown() const
{
    return this->samples >= internal::minSamples;
}

void UsualTime::add(Duration time)
{
    const double sample = internal::logarithmOf(time);
    if (this->samples == 0)
        this->median = sample;
    this->samples = std::min(this->samples + 1, internal::maxSamples);
    const double step = std::max(internal::minStep, internal::maxStep / this->samples);
    this->median += std::clamp(sample - this->median, -step, step);
}

double UsualTime::ratioOf(Duration time) const
{
    return this->isKnown() ? std::exp2(internal::logarithmOf(time) - this->median) : 1.0;
}

} // namespace bulrushgap::balance
