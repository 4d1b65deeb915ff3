#pragma once

#include "base/Time.h"

namespace bulrushgap::balance {

/** \brief Ejection of an upstream as far as placement uses it. */
struct EjectionMark
{
    /** Trials use requests that run at most once only this much later: their callers can't retry
     * them. */
    static constexpr Duration runAtMostOnceDelay = std::chrono::seconds(4);

    /** After this time without an outcome of a trial, the next one is placed. */
    static constexpr Duration trialTimeout = std::chrono::seconds(2);

    bool ejected = false;
    TimePoint nextTrial{}; //!< While ejected: when the upstream may receive a flow on trial.

    /** \returns whether a new flow may be placed on trial. */
    [[nodiscard]] bool isTrialDue(bool idempotent, TimePoint now) const
    {
        const Duration delay = idempotent ? Duration::zero() : runAtMostOnceDelay;
        return this->ejected && now >= this->nextTrial + delay;
    }
};

} // namespace bulrushgap::balance
