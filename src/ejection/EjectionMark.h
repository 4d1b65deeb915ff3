#pragma once

#include "base/Time.h"

namespace bulrushgap::balance {

/** \brief What placement knows of the ejection of an upstream. */
struct EjectionMark
{
    /** A caller may not retry the request of a trial on its own if it may run at most once. */
    static constexpr Duration runAtMostOnceDelay = std::chrono::seconds(4);

    /** Without an outcome by then, the next trial is placed. */
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
