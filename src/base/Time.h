#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace bulrushgap {

/** \brief Resolution of all durations in the core: one microsecond. */
using Duration = std::chrono::microseconds;

/** \brief Monotonic time, passed in by the caller; the core never reads a clock. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** \returns \a duration in whole milliseconds, rounded towards zero. */
[[nodiscard]] constexpr std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** \brief Random number generator, owned and seeded by the caller. */
using Random = std::mt19937_64;

} // namespace bulrushgap
