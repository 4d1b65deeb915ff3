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
    Duration maximalDeadline{5'000'000}; //!< Longer deadlines of requests are cut to this.
    /** \brief An upstream works on a request for this long after the deadline: it receives the
     * remaining time, so its deadline is later by the time that the packet travels. */
    Duration slotGrace{20'000};
    /** \brief A waiting request is refused this long before its deadline at the latest, so that the
     * refusal reaches a caller that still waits. */
    Duration refusalLead{20'000};
    /** \brief What a request is expected to take before the first answer has shown it. */
    Duration assumedServiceTime{100'000};
    Duration partLinger{1'000'000};        //!< Parts are accepted for this long after the last one.
    Duration peerSlotsLifetime{1'500'000}; //!< Three heartbeats.
    Duration statusRepeatInterval{
        2'000'000};               //!< A status that the plan does not show is sent again.
    int attemptTimeoutFactor = 8; //!< An attempt may take this many usual service times,
    Duration minimalAttemptTimeout{300'000};   //!< but at least this long
    Duration maximalAttemptTimeout{2'000'000}; //!< and at most this long.
    std::uint8_t retriesPerRequest = 2;
    /** \brief Whether the first plan counts all slots without handover as used. Safe only if
     * false when nothing has sent requests to the upstreams for maximalDeadline. */
    bool assumeBusyAtStart = true;
    ColdStartSettings coldStart;
    OutlierSettings outlier;
    RetryBudgetSettings retryBudget;
};

} // namespace bulrushgap
