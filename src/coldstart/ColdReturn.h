#pragma once

#include "base/Time.h"
#include "health/UpstreamHealth.h"

namespace bulrushgap::balance {

/** \brief Return of an upstream from an outage, after which it counts as cold until its slow start
 * has passed or evidence shows that it is the same incarnation.
 */
class ColdReturn
{
public:
    ColdReturn(const Outage &outage, TimePoint returnedAt, Duration slowStart)
        : outage(outage)
        , returnedAt(returnedAt)
        , coldUntil(returnedAt + slowStart)
    {}

    [[nodiscard]] bool isCold(TimePoint now) const { return now < this->coldUntil; }
    [[nodiscard]] bool wasRefused() const { return this->outage.kind == Outage::Kind::Refused; }

    /** \returns whether an answer on a flow shows that the upstream did not restart: another
     * incarnation resets flows that were opened before the outage.
     * \param unansweredAt when the caller had not received the answer yet */
    [[nodiscard]] bool isDisprovedBy(TimePoint flowOpenedAt, TimePoint unansweredAt) const
    {
        return flowOpenedAt < this->outage.suspectedAt && unansweredAt > this->outage.confirmedAt;
    }

    /** \returns whether a registry that the store confirmed at this time would list another
     * incarnation. */
    [[nodiscard]] bool isListedBy(TimePoint registryConfirmedAt) const
    {
        return registryConfirmedAt >= this->returnedAt + registrationTime;
    }

private:
    /** An upstream registers once it accepts connections, and the entry passes several instances
     * that collect events for 200 ms each. */
    static constexpr Duration registrationTime = std::chrono::milliseconds(500);

    Outage outage;
    TimePoint returnedAt;
    TimePoint coldUntil;
};

} // namespace bulrushgap::balance
