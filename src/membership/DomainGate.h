#pragma once

#include "base/Ids.h"
#include "base/Reasons.h"
#include "base/Time.h"
#include "plan/Plan.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace bulrushgap {

/** \brief Decides whether this instance may send to the upstreams of a failure domain.
 *
 * Another failure domain may be reached while one of its instances has sent a heartbeat within the
 * window whose plan in force is not newer than the plan in force here. So an instance that does not
 * learn of new plans stops sending to a failure domain that may have been taken out.
 */
class DomainGate
{
public:
    static constexpr Duration defaultWindow = std::chrono::seconds(2);

    explicit DomainGate(DomainId own, Duration window = defaultWindow)
        : own(own)
        , window(window)
    {}

    /** \brief Notes the plan that is now in force on this instance. */
    void onPlanInForce(const Plan &plan);

    /** \brief Notes a heartbeat from an instance of \a domain with its plan in force. */
    void onHeartbeat(DomainId domain, PlanId inForce, TimePoint now);

    /** \returns why \a domain must not be sent to: DomainOut or DomainUnreachable, or nothing. */
    [[nodiscard]] std::optional<RefusalReason> refusal(DomainId domain, TimePoint now) const;

    [[nodiscard]] bool mayReach(DomainId domain, TimePoint now) const
    {
        return !this->refusal(domain, now).has_value();
    }

private:
    struct ReceivedHeartbeat
    {
        TimePoint time;
        PlanId inForce;
    };

    /** \brief Heartbeats that can still decide: times and plan ids both rise.
     *
     * A heartbeat is dropped as soon as a later one has an id that is not greater.
     */
    using HeartbeatQueue = std::deque<ReceivedHeartbeat>;

    static constexpr std::size_t maxQueueLength = 64;

    DomainId own;
    Duration window;
    PlanId inForce;
    std::vector<DomainId> out;
    std::unordered_map<DomainId, HeartbeatQueue> heartbeats;
};

} // namespace bulrushgap
