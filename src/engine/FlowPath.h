#pragma once

#include "base/Counters.h"
#include "base/KeyedHash.h"
#include "engine/Action.h"
#include "engine/InstanceIdentity.h"
#include "flow/FlowRouter.h"
#include "membership/DomainGate.h"
#include "packet/Packet.h"
#include "plan/Plan.h"

#include <functional>
#include <map>

namespace bulrushgap {

/** \brief Decides where packets of flows go. */
class FlowPath
{
public:
    /** \brief Looks for an upstream in the plan in force and in the one that follows it. */
    using FindUpstream = std::function<const PlanUpstream *(ServiceId, UpstreamId)>;

    FlowPath(const InstanceIdentity &identity, FlowRouter &router, const DomainGate &gate,
             const KeyedHash &hash, FindUpstream findUpstream, Duration silenceTimeout,
             Counters &counters);

    /** \brief Handles a packet that a caller sent on a flow.
     *  \param arbiterHops relays of the packet for an arbiter's decision so far
     */
    void onCallerPacket(const Packet &packet, const Plan &plan, std::uint8_t arbiterHops,
                        TimePoint now, Actions &actions);

    /** \brief Passes an item of a feed on to its caller. */
    void onFeedItem(const Packet &packet, const Plan &plan, TimePoint now, Actions &actions);

private:
    void sendToUpstream(const Packet &packet, const PlanService &service, UpstreamId upstream,
                        TimePoint now, Actions &actions);
    void relayToArbiter(const Packet &packet, InstanceId arbiter, std::uint8_t hops,
                        Actions &actions);
    struct Ejection
    {
        TimePoint since;
        TimePoint lastPacket;
    };

    /** \returns whether the upstream has been ejected for the silence timeout.
     *
     * An upstream may be ejected in error, for requests only, while its feeds go on. */
    [[nodiscard]] bool isSilent(const PlanUpstream &newest, const PlanService &inForce,
                                TimePoint now);

    /** \returns whether the upstream is ejected in the newest plan and in the one in force. */
    [[nodiscard]] static bool isEjected(const PlanUpstream &newest, const PlanService &inForce);
    void reset(const Packet &packet, RefusalReason reason, Actions &actions);

    const InstanceIdentity &identity;
    FlowRouter &router;
    const DomainGate &gate;
    const KeyedHash &hash;
    FindUpstream findUpstream;
    Duration silenceTimeout;
    Counters &counters;
    std::map<UpstreamId, Ejection> ejections;
    std::uint64_t nextRelayId = 1;
};

} // namespace bulrushgap
