#include "reachability/InstanceConnectivity.h"

namespace bulrushgap::balance {

namespace internal {

/** Lost probes in a row; packet loss alone hardly loses as many. */
constexpr unsigned minLostProbes = 4;

/** A view of some thousand upstreams delays connections on a link of 10 Mbit/s by about half of
 * this. */
constexpr Duration minLossPeriod = std::chrono::milliseconds(1'500);

/** Without traffic no probe starts, so nothing shows whether the last losses still hold. */
constexpr Duration maxLossAge = std::chrono::seconds(3);

} // namespace internal

void InstanceConnectivity::onProbeLost(TimePoint startedAt, TimePoint now)
{
    if (this->lost > 0 && now - this->lastLostAt > internal::maxLossAge)
        this->lost = 0;
    if (this->lost++ == 0)
        this->firstStartedAt = startedAt;
    this->lastLostAt = now;
}

bool InstanceConnectivity::reachesNoUpstream(TimePoint now) const
{
    return this->lost >= internal::minLostProbes
           && this->lastLostAt - this->firstStartedAt >= internal::minLossPeriod
           && now - this->lastLostAt <= internal::maxLossAge;
}

} // namespace bulrushgap::balance
