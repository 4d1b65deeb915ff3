#pragma once

#include "base/Time.h"

namespace bulrushgap {

struct RetryBudgetSettings
{
    double retriesPerSuccess = 0.1; //!< Allowed retries per recent success.
    double minimalRetries = 2.0;    //!< Allowed without any recent success.
    Duration decayTime{10'000'000}; //!< Time constant of the exponential decay of both counts.
};

/** \brief Limits retries to a fraction of recent successes to avoid amplifying an outage. */
class RetryBudget
{
public:
    explicit RetryBudget(const RetryBudgetSettings &settings = {})
        : settings(settings)
    {}

    void onSuccess(TimePoint now);

    /** \brief Spends one retry. \returns false if the budget is used up. */
    bool trySpend(TimePoint now);

private:
    void applyDecay(TimePoint now);

    RetryBudgetSettings settings;
    double successes = 0;
    double retries = 0;
    TimePoint decayedAt;
};

} // namespace bulrushgap
