#include "admission/UpstreamLimiter.h"

#include <cassert>

namespace bulrushgap {

void UpstreamLimiter::release()
{
    assert(this->own > 0);
    --this->own;
}

void UpstreamLimiter::assume(std::uint16_t count, TimePoint until)
{
    this->assumed = count;
    this->assumedUntil = until;
}

} // namespace bulrushgap
