#pragma once

#include "base/Time.h"
#include "packet/Packet.h"
#include "plan/Plan.h"

#include <cstdint>
#include <optional>

namespace bulrushgap {

struct ColdStartSettings
{
    std::uint16_t successesPerStep = 4;
    int slowFactor = 4; //!< Multiple of the average latency above which an answer is a fault.
    Duration idleLimit{1'000'000}; //!< After this time without an answer, the upstream may be cold.
};

/** \brief Slow start of one upstream: limits its weight and its slots in use.
 *
 * While the warmth is uncertain (new owner, idle, one slow or failed answer), the limit is 1 and
 * the weight unchanged. A fault then affects only one request, and a single outlier does not
 * restart the ramp.
 * Two faults in a row, or a load report without the warm flag, restart the ramp.
 */
class ColdStartRamp
{
public:
    /** \param weight the weight in the plan, from which the initial step follows. */
    explicit ColdStartRamp(std::uint8_t weight = fullWeight,
                           const ColdStartSettings &settings = {});

    /** \brief Records an answer; \a averageLatency is the moving average, if known. */
    void onSuccess(Duration latency, std::optional<Duration> averageLatency, TimePoint now);

    /** \brief Records an error, a refusal by the upstream or a timeout. */
    void onFault();

    /** \brief Restarts the ramp unless the upstream reports that it is warm. */
    void onReport(const LoadReport &report);

    /** \returns how many of \a slots may be used, at least 1. */
    [[nodiscard]] std::uint16_t limit(std::uint16_t slots, TimePoint now) const;

    /** \returns the weight at the current step, at most fullWeight. */
    [[nodiscard]] std::uint8_t weight() const;

private:
    void restart();

    ColdStartSettings settings;
    std::uint8_t step = 0; //!< Index into the fractions 1/8, 1/4, 1/2 and 1.
    std::uint16_t successes = 0;
    bool warmthUncertain = true;
    TimePoint lastAnswer;
};

} // namespace bulrushgap
