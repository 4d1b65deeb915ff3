#pragma once

#include "flow.h"
#include "message.h"

namespace bulrushgap::bench {

/** \brief Flow placement of one instance, as the benchmark compares it. */
class Mechanism
{
public:
    using Outbox = std::vector<OutboundMessage>;

    Mechanism() = default;
    Mechanism(const Mechanism &) = delete;
    Mechanism &operator=(const Mechanism &) = delete;
    virtual ~Mechanism() = default;

    virtual FlowDecision route(std::uint64_t flowHash, TimePoint now, bool relayed) = 0;
    virtual void onPlan(const Plan &plan, TimePoint now, Outbox &out) = 0;
    [[nodiscard]] virtual std::size_t bytes() const = 0;

    /** \brief Called on an instance that joins, with the state of a living instance. */
    virtual void onJoin(const Mechanism & /*source*/, TimePoint /*now*/, Outbox & /*out*/) {}
    virtual void onMessage(InstanceId /*from*/, const PeerMessage & /*message*/, TimePoint /*now*/,
                           Outbox & /*out*/)
    {}
    virtual void onInstanceDead(InstanceId /*instance*/, TimePoint /*now*/, Outbox & /*out*/) {}
    virtual void tick(TimePoint /*now*/, Outbox & /*out*/) {}
};

} // namespace bulrushgap::bench
