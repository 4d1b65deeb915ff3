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
    int slowFactor = 4;            //!< An answer slower than this many usual ones is a fault.
    Duration idleLimit{1'000'000}; //!< After this time without an answer, warmth is unknown.
};

/** \brief Slow start of one upstream: which weight and how many slots it can bear.
 *
 * While the warmth is in doubt (new owner, idle, one slow or failed answer), the limit is 1 and
 * the weight unchanged: a fault then hits one request, and a single outlier costs no full ramp.
 * Two faults in a row, or a load report without the warm flag, restart the ramp.
 */
class ColdStartRamp
{
public:
    /** \param weight the plan's weight: what is known before the first answer. */
    explicit ColdStartRamp(std::uint8_t weight = fullWeight,
                           const ColdStartSettings &settings = {});

    /** \brief An answer after \a latency; \a averageLatency is the moving average, if known. */
    void onSuccess(Duration latency, std::optional<Duration> averageLatency, TimePoint now);

    /** \brief An error, a refusal by the upstream, or no answer in time. */
    void onFault();

    /** \brief Restarts the ramp unless the upstream says that it is warm. */
    void onReport(const LoadReport &report);

    /** \returns the slots of \a slots that may be used, at least 1. */
    [[nodiscard]] std::uint16_t limit(std::uint16_t slots, TimePoint now) const;

    /** \returns the weight that the upstream can bear, 1 to fullWeight. */
    [[nodiscard]] std::uint8_t weight() const;

private:
    void restart();

    ColdStartSettings settings;
    std::uint8_t step = 0; //!< Index into the shares 1/8, 1/4, 1/2 and 1.
    std::uint16_t successes = 0;
    bool warmthUncertain = true;
    TimePoint lastAnswer;
};

} // namespace bulrushgap
