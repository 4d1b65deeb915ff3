#pragma once

#include "base/Time.h"

namespace bulrushgap::balance {

/** \brief Tells whether this instance reaches no upstream at all.
 *
 * A probe that is lost while no other upstream is reached says nothing of its upstream: the link of
 * this instance may be congested or cut. Several of them in a row, over longer than a congested
 * link delays connections, say that this instance reaches nobody. That is a reason to leave
 * rotation, so that other instances carry the open flows on; it confirms no upstream as down.
 * Performs no I/O.
 */
class InstanceConnectivity
{
public:
    /** \brief Records that an upstream was reached, or that earlier probes are no evidence. */
    void onContact() { this->lost = 0; }

    /** \brief Records a probe without a result, while no other upstream was reached either. */
    void onProbeLost(TimePoint startedAt, TimePoint now);

    /** \returns whether enough probes were lost since the last contact, over a long enough time,
     * the last of them recently. */
    [[nodiscard]] bool reachesNoUpstream(TimePoint now) const;

private:
    unsigned lost = 0;          //!< Lost probes since the last contact.
    TimePoint firstStartedAt{}; //!< Start of the first of them.
    TimePoint lastLostAt{};     //!< End of the last one.
};

} // namespace bulrushgap::balance
