#pragma once

#include "base/Time.h"

#include <algorithm>

namespace bulrushgap::balance {

/** \brief Token bucket for one instance's share of the new flows to a cold upstream.
 *
 * Prevents overload of a cold upstream: all instances together stay within its rate.
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

    /** \returns whether a new flow is allowed now; if so, consumes a token. */
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
