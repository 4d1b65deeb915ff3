#pragma once

#include "base/Time.h"
#include "plan/Planner.h"

#include <algorithm>
#include <optional>

namespace bulrushgap {

/** \brief Limits the rate of plans.
 *
 * Flapping health causes at most one plan per interval; changes of an operator's object or of the
 * membership are due immediately. Two planners that reach the store but not each other would
 * replace each other's membership without end, so after a rival's plan only operators' changes are
 * urgent and the interval doubles, up to longestInterval, until rivals have been quiet that long.
 */
class PlanPacer
{
public:
    static constexpr Duration standardInterval = std::chrono::milliseconds(200);
    static constexpr Duration longestInterval = std::chrono::seconds(5);

    explicit PlanPacer(Duration interval = standardInterval)
        : interval(interval)
        , rivalInterval(interval)
    {}

    /** \returns whether \a candidate shall replace \a previous now. */
    [[nodiscard]] bool due(const Plan &candidate, const Plan &previous, TimePoint now) const
    {
        if (!differs(candidate, previous))
            return false;
        if (candidate.configVersion != previous.configVersion)
            return true;
        const bool rivals = this->rivalsActive(now);
        const Duration pause = rivals ? this->rivalInterval : this->interval;
        if (!this->last || now - *this->last >= pause)
            return true;
        return !rivals && differsBeyondHealth(candidate, previous);
    }

    /** \brief Notes that a plan was proposed. */
    void proposed(TimePoint now) { this->last = now; }

    /** \brief Notes that another planner's plan was adopted while this instance is the planner. */
    void rivalAdopted(TimePoint now)
    {
        this->rivalInterval = this->rivalsActive(now)
                                  ? std::min(2 * this->rivalInterval, longestInterval)
                                  : this->interval;
        this->lastRival = now;
        this->last = now;
    }

private:
    [[nodiscard]] bool rivalsActive(TimePoint now) const
    {
        return this->lastRival && now - *this->lastRival < 2 * longestInterval;
    }

    Duration interval;
    Duration rivalInterval;
    std::optional<TimePoint> last;
    std::optional<TimePoint> lastRival;
};

} // namespace bulrushgap
