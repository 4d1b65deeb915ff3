#pragma once

#include "base/Time.h"

#include <optional>

namespace bulrushgap {

/** \brief Detects that this process did not run for a while, by timers that come late.
 *
 * Others have taken a paused instance as dead meanwhile, so its view is stale until it has heard a
 * plan id from a peer or the platform.
 */
class PauseDetector
{
public:
    /** \brief Ticks are due every \a interval; a tick late by more than \a peerTimeout is a pause.
     */
    PauseDetector(Duration interval, Duration peerTimeout)
        : interval(interval)
        , peerTimeout(peerTimeout)
    {}

    /** \returns the length of the pause that ends with this tick, if there was one. */
    std::optional<Duration> tick(TimePoint now)
    {
        const auto previous = this->lastTick;
        this->lastTick = now;
        if (!previous || now - *previous <= this->interval + this->peerTimeout)
            return std::nullopt;
        this->paused = true;
        return now - *previous - this->interval;
    }

    /** \returns whether no plan id was heard since the last pause. */
    [[nodiscard]] bool stale() const { return this->paused; }

    /** \brief Notes a plan id from a peer or the platform, heard at \a now.
     *
     * What is heard before the tick that detects the pause may have waited in a buffer during it,
     * so it is checked for lateness first.
     */
    void onPlanIdReceived(TimePoint now)
    {
        if (this->lastTick && now - *this->lastTick > this->interval + this->peerTimeout)
            return;
        this->paused = false;
    }

private:
    Duration interval;
    Duration peerTimeout;
    std::optional<TimePoint> lastTick;
    bool paused = false;
};

} // namespace bulrushgap
