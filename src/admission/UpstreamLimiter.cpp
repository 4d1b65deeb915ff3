#include "admission/UpstreamLimiter.h"

#include <cassert>

namespace bulrushgap {

void UpstreamLimiter::release()
{
    assert(this->ownCount > 0);
    --this->ownCount;
}

void UpstreamLimiter::assume(std::uint16_t count, TimePoint until, bool reported)
{
    this->assumedCount = count;
    this->assumptionReported = reported;
    this->assumedUntil = until;
}

} // namespace bulrushgap
