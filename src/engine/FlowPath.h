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

/** \brief Forwards packets of flows to upstreams, callers or arbiters. */
class FlowPath
{
public:
    /** \brief Looks up an upstream in the plan in force and in the next plan. */
    using FindUpstream = std::function<const PlanUpstream *(ServiceId, UpstreamId)>;

    FlowPath(const InstanceIdentity &identity, FlowRouter &router, const DomainGate &gate,
             const KeyedHash &hash, FindUpstream findUpstream, Duration silenceTimeout,
             Counters &counters);

    /** \brief Handles a packet that a caller sent on a flow.
     *  \param arbiterHops how often the packet has been relayed to an arbiter
     */
    void onCallerPacket(const Packet &packet, const Plan &plan, std::uint8_t arbiterHops,
                        TimePoint now, Actions &actions);

    /** \brief Forwards an item of a feed from an upstream to its caller. */
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
     * Flows are not reset earlier: an upstream may be ejected in error because of its requests
     * alone, while its feeds continue. */
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
