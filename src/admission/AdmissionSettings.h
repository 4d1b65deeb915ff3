#pragma once

#include "admission/ColdStartRamp.h"
#include "admission/OutlierDetector.h"
#include "admission/RetryBudget.h"
#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace bulrushgap {

struct AdmissionSettings
{
    std::size_t queuePerService = 256;
    Duration maximalDeadline{5'000'000}; //!< Limit of the time until a deadline.
    /** \brief Time after the deadline for which the slot stays in use. The upstream receives the
     * remaining time, so that its own deadline is later by the transit time of the packet. */
    Duration slotGrace{20'000};
    /** \brief A queued request is refused at least this long before its deadline, so that the
     * refusal reaches the caller in time. */
    Duration refusalLead{20'000};
    /** \brief Assumed upper bound of the service time until the first answer. */
    Duration assumedServiceTime{100'000};
    Duration partLinger{1'000'000}; //!< How long reordered parts are accepted after the last.
    Duration peerSlotsLifetime{1'500'000}; //!< Three default heartbeat intervals.
    /** \brief Interval at which a status is reported again while the plan differs from it. */
    Duration statusRepeatInterval{2'000'000};
    int attemptTimeoutFactor = 8; //!< Multiple of the average service time, within both limits:
    Duration minimalAttemptTimeout{300'000};
    Duration maximalAttemptTimeout{2'000'000}; //!< Also the timeout before the first answer.
    std::uint8_t retriesPerRequest = 2;
    /** \brief Whether all slots that were not handed over count as used under the first plan. False
     * is safe only if no instance has sent requests to the upstreams for maximalDeadline. */
    bool assumeBusyAtStart = true;
    ColdStartSettings coldStart;
    OutlierSettings outlier;
    RetryBudgetSettings retryBudget;
};

} // namespace bulrushgap
