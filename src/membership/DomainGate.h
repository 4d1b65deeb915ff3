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
 * Sending to another failure domain is allowed if one of its instances sent, within the window, a
 * heartbeat whose plan in force is not newer than the local one. An instance that does not receive
 * new plans thus stops sending to a failure domain that one of them may have taken out.
 */
class DomainGate
{
public:
    static constexpr Duration defaultWindow = std::chrono::seconds(2);

    explicit DomainGate(DomainId own, Duration window = defaultWindow)
        : own(own)
        , window(window)
    {}

    /** \brief Records the plan that is now in force on this instance. */
    void onPlanInForce(const Plan &plan);

    /** \brief Records a heartbeat from an instance of \a domain with its plan in force. */
    void onHeartbeat(DomainId domain, PlanId inForce, TimePoint now);

    /** \returns the reason not to send to \a domain, DomainOut or DomainUnreachable, or nothing. */
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

    /** \brief Monotonic queue of heartbeats: times and plan ids both increase.
     *
     * A heartbeat is dropped as soon as a later one has a plan id that is not greater.
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
