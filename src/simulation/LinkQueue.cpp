#include "simulation/LinkQueue.h"

#include <algorithm>

namespace bulrushgap::simulation {

Duration LinkQueue::pushStream(std::size_t bytes, TimePoint now)
{
    this->freeAt = std::max(this->freeAt, now) + this->transmissionTime(bytes);
    return this->freeAt - now;
}

std::optional<Duration> LinkQueue::pushDatagram(std::size_t bytes, TimePoint now)
{
    const Duration most = this->transmissionTime(this->capacity.queueBytes);
    if (this->backlog(now) + this->transmissionTime(bytes) > most)
        return std::nullopt;
    return this->pushStream(bytes, now);
}

Duration LinkQueue::backlog(TimePoint now) const
{
    return std::max(Duration::zero(), Duration(this->freeAt - now));
}

Duration LinkQueue::transmissionTime(std::size_t bytes) const
{
    constexpr double bitsPerByte = 8;
    const std::chrono::duration<double, std::micro> time(static_cast<double>(bytes) * bitsPerByte
                                                         / this->capacity.mbps);
    return std::chrono::duration_cast<Duration>(time);
}

} // namespace bulrushgap::simulation
