#include "capacity/UsualTime.h"

#include <algorithm>
#include <cmath>

namespace bulrushgap::balance {

namespace internal {

/** Answers from which the median is known. */
constexpr unsigned minSamples = 16;

/** Greatest step of the median at one answer, in powers of two. */
constexpr double maxStep = 0.5;
constexpr double minStep = 0.02;

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
    this->samples = std::min(this->samples + 1, 1'000U);
    const double step = std::max(internal::minStep, internal::maxStep / this->samples);
    this->median += std::clamp(sample - this->median, -step, step);
}

double UsualTime::ratioOf(Duration time) const
{
    return this->isKnown() ? std::exp2(internal::logarithmOf(time) - this->median) : 1.0;
}

} // namespace bulrushgap::balance
