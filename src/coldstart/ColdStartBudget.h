#pragma once

#include "base/Time.h"

#include <algorithm>

namespace bulrushgap::balance {

/** \brief Token bucket for new flows to one cold upstream, one instance's share of its rate.
 *
 * Answers the load that a cold upstream can't bear: all instances together stay within its rate.
 */
class ColdStartBudget
{
public:
    /** \brief Sets this instance's rate; the bucket holds one flow at most. */
    void setRate(double flowsPerSecond)
    {
        this->limited = true;
        this->rate = flowsPerSecond;
    }

    void setUnlimited() { this->limited = false; }

    /** \returns whether a new flow may go now, and if so takes it from the budget. */
    bool take(TimePoint now)
    {
        if (!this->available(now))
            return false;
        if (this->limited)
            this->tokens -= 1.0;
        return true;
    }

    [[nodiscard]] bool available(TimePoint now)
    {
        this->refill(now);
        return !this->limited || this->tokens >= 1.0;
    }

private:
    void refill(TimePoint now)
    {
        const std::chrono::duration<double> elapsed = now - this->refilledAt;
        this->refilledAt = now;
        this->tokens = std::min(1.0, this->tokens + elapsed.count() * this->rate);
    }

    bool limited = false;
    double rate = 0.0;
    double tokens = 0.0;
    TimePoint refilledAt{};
};

} // namespace bulrushgap::balance
