#pragma once

#include "base/Time.h"

#include <optional>

namespace bulrushgap {

/** \brief Detects pauses of this process by late timer ticks.
 *
 * Peers may have considered this instance dead during a pause, so its view is stale until it
 * receives a plan id from a peer or the platform.
 */
class PauseDetector
{
public:
    /** \brief Ticks are due every \a interval; a delay over \a peerTimeout means a pause.
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

    /** \returns whether no plan id was received since the last pause. */
    [[nodiscard]] bool stale() const { return this->paused; }

    /** \brief Records that a plan id from a peer or the platform was received at \a now.
     *
     * A plan id that arrives before the tick that detects the pause may have been buffered during
     * the pause, so it is ignored while that tick is overdue.
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
