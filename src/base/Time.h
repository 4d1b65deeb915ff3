#pragma once

#include <chrono>
#include <random>

namespace bulrushgap {

/** \brief Resolution of all durations in the core: one microsecond. */
using Duration = std::chrono::microseconds;

/** \brief Monotonic time, passed in by the caller; the core never reads a clock. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** \brief Random number generator, owned and seeded by the caller. */
using Random = std::mt19937_64;

} // namespace bulrushgap
