#pragma once

#include "base/Time.h"

#include <algorithm>

namespace bulrushgap {

/** \brief Exponential backoff with jitter: each delay is 50 % to 100 % of the current step. */
class Backoff
{
public:
    Backoff(Duration first, Duration longest, Random &random)
        : first(first)
        , longest(longest)
        , step(first)
        , random(random)
    {}

    /** \returns the delay before the next attempt and doubles the step. */
    Duration next()
    {
        std::uniform_int_distribution<Duration::rep> jitter(this->step.count() / 2,
                                                            this->step.count());
        this->step = std::min(this->longest, this->step * 2);
        return Duration(jitter(this->random));
    }

    /** \brief Starts over after a success. */
    void reset() { this->step = this->first; }

private:
    Duration first;
    Duration longest;
    Duration step;
    Random &random;
};

} // namespace bulrushgap
