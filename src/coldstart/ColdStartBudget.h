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
        this->refill(now);
        if (!this->available(now))
            return false;
        if (this->limited)
            this->tokens -= 1.0;
        return true;
    }

    [[nodiscard]] bool available(TimePoint now) const
    {
        return !this->limited || this->tokensAt(now) >= 1.0;
    }

    /** \brief Adds the tokens earned by now at the present rate. */
    void refill(TimePoint now)
    {
        this->tokens = this->tokensAt(now);
        this->refilledAt = now;
    }

private:
    [[nodiscard]] double tokensAt(TimePoint now) const
    {
        const std::chrono::duration<double> elapsed = now - this->refilledAt;
        return std::min(1.0, this->tokens + elapsed.count() * this->rate);
    }

    bool limited = false;
    double rate = 0.0;
    double tokens = 0.0;
    TimePoint refilledAt{};
};

} // namespace bulrushgap::balance
