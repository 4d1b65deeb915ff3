#include "capacity/CapacityEstimate.h"

#include <algorithm>
#include <cmath>

namespace bulrushgap::balance {

namespace internal {

/** Weight of one answer. A single answer with several times the usual work, as a few in a hundred
 * have, must not halve the share of its upstream. */
constexpr double smoothing = 0.25;

/** Range of the factor; also limits the weight of a single answer. */
constexpr double minFactor = 0.05;
constexpr double maxFactor = 2.0;

/** Without answers, the estimate loses half of its weight in this time. An upstream with a
 * twentieth of the usual speed is then tried again after about 20 s. */
constexpr std::chrono::duration<double> halfLife = std::chrono::seconds(5);

} // namespace internal

double CapacityEstimate::weightAt(TimePoint now) const
{
    const std::chrono::duration<double> age = now - this->updatedAt;
    return std::exp2(-std::max(0.0, age / internal::halfLife));
}

void CapacityEstimate::add(double ratio, TimePoint now)
{
    const double limit = -std::log2(internal::minFactor);
    const double sample = std::clamp(std::log2(ratio), -limit, limit);
    const double before = this->slowdown * this->weightAt(now);
    this->slowdown = before + internal::smoothing * (sample - before);
    this->updatedAt = now;
}

double CapacityEstimate::factor(TimePoint now) const
{
    const double factor = std::exp2(-this->slowdown * this->weightAt(now));
    return std::clamp(factor, internal::minFactor, internal::maxFactor);
}

} // namespace bulrushgap::balance
