#pragma once

#include "base/Time.h"

#include <algorithm>

namespace bulrushgap {

/** \brief Exponential backoff with jitter: a random 50 % to 100 % of the current step. */
class Backoff
{
public:
    Backoff(Duration initial, Duration maximum, Random &random)
        : initial(initial)
        , maximum(maximum)
        , currentStep(initial)
        , random(random)
    {}

    /** \returns the delay before the next attempt and doubles the step. */
    Duration next()
    {
        std::uniform_int_distribution<Duration::rep> jitter(this->currentStep.count() / 2,
                                                            this->currentStep.count());
        this->currentStep = std::min(this->maximum, this->currentStep * 2);
        return Duration(jitter(this->random));
    }

    /** \brief Restarts from the initial step; called after a success. */
    void reset() { this->currentStep = this->initial; }

private:
    Duration initial;
    Duration maximum;
    Duration currentStep;
    Random &random;
};

} // namespace bulrushgap
