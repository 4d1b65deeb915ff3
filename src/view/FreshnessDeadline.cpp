#include "view/FreshnessDeadline.h"

#include <algorithm>

namespace bulrushgap::balance {

namespace internal {

using std::chrono::milliseconds;

/** An instance that reads the store has a view of up to 1 s of age. */
constexpr Duration rootLimit = milliseconds(1'400);
constexpr Duration limitPerLevel = milliseconds(450);

/** Time over which the instances of one level turn to the store. */
constexpr Duration levelSpread = milliseconds(300);

/** Leaves a second to read the store within the 5 s that a change may take in large domains. */
constexpr Duration maxLimit = milliseconds(3'900);

constexpr Duration minDeadlineDelay = milliseconds(500);
constexpr Duration maxDeadlineDelay = milliseconds(8'000);
constexpr int delayGrowth = 2;

/** Sources that are left without a grace period after each passed deadline. */
constexpr unsigned attemptsPerDeadline = 3;

} // namespace internal

Duration FreshnessDeadline::limitOf(std::size_t rank, std::size_t children)
{
    std::size_t level = 0;
    std::size_t width = 1;
    std::size_t position = rank;
    while (position >= width) {
        position -= width;
        width *= children;
        ++level;
    }
    const auto offset = internal::levelSpread * position / width;
    return std::min<Duration>(internal::rootLimit + level * internal::limitPerLevel + offset,
                              internal::maxLimit);
}

Duration FreshnessDeadline::remaining(Duration age, Duration limit, TimePoint now) const
{
    return std::max(limit - age, this->nextAt - now);
}

bool FreshnessDeadline::onPassed(TimePoint now)
{
    const bool first = this->delay == Duration::zero();
    this->delay = std::clamp(internal::delayGrowth * this->delay, internal::minDeadlineDelay,
                             internal::maxDeadlineDelay);
    this->nextAt = now + this->delay;
    this->hastyAttempts = internal::attemptsPerDeadline;
    return first;
}

void FreshnessDeadline::onFresh()
{
    *this = {};
}

bool FreshnessDeadline::takeHastyAttempt()
{
    if (this->hastyAttempts == 0)
        return false;
    --this->hastyAttempts;
    return true;
}

} // namespace bulrushgap::balance
