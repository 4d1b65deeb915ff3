#include "peer/ByteBudget.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace bulrushgap {

namespace internal {

constexpr double microsecondsPerSecond = 1e6;

} // namespace internal

ByteBudget::ByteBudget(std::uint64_t bytesPerSecond, std::uint64_t burst, TimePoint now)
    : rate(static_cast<double>(bytesPerSecond))
    , burst(static_cast<double>(burst))
    , tokens(static_cast<double>(burst))
    , last(now)
{
    assert(bytesPerSecond > 0 && burst > 0);
}

bool ByteBudget::take(TimePoint now, std::size_t bytes, std::size_t reserve)
{
    this->refill(now);
    if (this->shortage(bytes, reserve) > 0)
        return false;
    this->tokens -= static_cast<double>(bytes);
    return true;
}

void ByteBudget::charge(TimePoint now, std::size_t bytes)
{
    this->refill(now);
    this->tokens -= static_cast<double>(bytes);
}

Duration ByteBudget::delay(TimePoint now, std::size_t bytes, std::size_t reserve)
{
    this->refill(now);
    const double missing = std::max(0.0, this->shortage(bytes, reserve));
    return Duration(static_cast<std::int64_t>(
        std::ceil(missing * internal::microsecondsPerSecond / this->rate)));
}

void ByteBudget::refill(TimePoint now)
{
    if (now <= this->last)
        return;
    const double elapsed
        = static_cast<double>((now - this->last).count()) / internal::microsecondsPerSecond;
    this->tokens = std::min(this->burst, this->tokens + elapsed * this->rate);
    this->last = now;
}

double ByteBudget::shortage(std::size_t bytes, std::size_t reserve) const
{
    return std::min(this->burst, static_cast<double>(bytes + reserve)) - this->tokens;
}

} // namespace bulrushgap
