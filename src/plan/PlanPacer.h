#pragma once

#include "base/Time.h"
#include "plan/Planner.h"

#include <algorithm>
#include <optional>

namespace bulrushgap {

/** \brief Limits the rate at which plans are proposed.
 *
 * Flapping health causes at most one plan per interval; configuration and membership changes are
 * due immediately. Two planners that reach the store but not each other would keep replacing each
 * other's membership. After a rival's plan, therefore, only configuration changes are due
 * immediately, and each further rival plan doubles the interval up to longestInterval. The backoff
 * ends when no rival plan has been adopted for twice longestInterval.
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

    /** \returns whether \a candidate is due to replace \a previous. */
    [[nodiscard]] bool due(const Plan &candidate, const Plan &previous, TimePoint now) const
    {
        if (!differs(candidate, previous))
            return false;
        if (candidate.configVersion != previous.configVersion)
            return true;
        const bool rivals = this->rivalsActive(now);
        const Duration pause = rivals ? this->rivalInterval : this->interval;
        if (!this->lastPlan || now - *this->lastPlan >= pause)
            return true;
        return !rivals && differsBeyondHealth(candidate, previous);
    }

    /** \brief Records that a plan was proposed. */
    void proposed(TimePoint now) { this->lastPlan = now; }

    /** \brief Records that another planner's plan was adopted while this instance is the planner.
     */
    void rivalAdopted(TimePoint now)
    {
        this->rivalInterval = this->rivalsActive(now)
                                  ? std::min(2 * this->rivalInterval, longestInterval)
                                  : this->interval;
        this->lastRival = now;
        this->lastPlan = now;
    }

private:
    [[nodiscard]] bool rivalsActive(TimePoint now) const
    {
        return this->lastRival && now - *this->lastRival < 2 * longestInterval;
    }

    Duration interval;
    Duration rivalInterval;
    std::optional<TimePoint> lastPlan;
    std::optional<TimePoint> lastRival;
};

} // namespace bulrushgap
