#pragma once

#include "base/Counters.h"
#include "base/KeyedHash.h"
#include "base/Time.h"
#include "flow/FlowDecision.h"
#include "flow/FlowStore.h"
#include "flow/Transition.h"
#include "message/PeerMessage.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace bulrushgap {

struct FlowRouterOptions
{
    FlowStoreOptions store;
    TransitionOptions transition;
};

/** \brief Routes the flows of one instance to upstreams; facade of the module.
 *
 * Combines the flow table with the transition between plans.
 */
class FlowRouter
{
public:
    using Outbox = Transition::Outbox;

    FlowRouter(InstanceId self, std::uint64_t bootId, const FlowRouterOptions &options,
               const KeyedHash &hash, Counters &counters, TransitionHooks hooks)
        : options(options)
        , counters(counters)
        , store(options.store, hash, counters)
        , transition(self, bootId, options.transition, hash, this->store, counters,
                     std::move(hooks))
    {}

    FlowRouter(const FlowRouter &) = delete;
    FlowRouter &operator=(const FlowRouter &) = delete;

    /** \brief Routes a packet that a caller sent; records the flow if this instance places it.
     * \param asArbiter whether another instance relayed the packet to this one as the arbiter. The
     * decision may be to relay it again; the hop limit of relays bounds this.
     */
    FlowDecision route(ServiceId service, std::uint64_t flowHash, TimePoint now, bool asArbiter);

    /** \brief Marks a recorded flow as active, for a packet that its upstream sent. */
    void touch(ServiceId service, std::uint64_t flowHash, TimePoint now);

    /** \brief Removes a flow that its caller closed or that was reset. */
    void close(ServiceId service, std::uint64_t flowHash);

    /** \returns the plan in force, or nullptr. */
    [[nodiscard]] const Plan *currentPlan() const { return this->transition.inForce(); }

    /** \returns the plan in force or being adopted, or nullptr. */
    [[nodiscard]] const Plan *newestPlan() const { return this->transition.newest(); }

    /** \returns the plan in force and its exceptions, limited to what fits into one message.
     *
     * The limit is safe: a joining instance receives all exceptions in the unions of the plan that
     * adds it.
     */
    [[nodiscard]] std::optional<Snapshot> snapshot() const;

    /** \returns whether the plan of the snapshot was adopted. */
    bool loadSnapshot(const Snapshot &snapshot, TimePoint now, Outbox &out)
    {
        this->store.advanceClock(now);
        return this->transition.onSnapshot(snapshot, now, out);
    }

    void onPlan(const Plan &plan, TimePoint now, Outbox &out)
    {
        this->store.advanceClock(now);
        this->transition.onPlan(plan, now, out);
    }
    void onDigest(InstanceId from, const Digest &digest, TimePoint now, Outbox &out)
    {
        this->transition.onDigest(from, digest, now, out);
    }
    void onPrepared(InstanceId from, const Prepared &prepared, TimePoint now, Outbox &out)
    {
        this->transition.onPrepared(from, prepared, now, out);
    }
    void onUnion(InstanceId from, const Union &message, TimePoint now, Outbox &out)
    {
        this->transition.onUnion(from, message, now, out);
    }
    void onInForce(InstanceId from, const InForce &message, TimePoint now, Outbox &out)
    {
        this->transition.onInForce(from, message, now, out);
    }
    void onInstanceDead(InstanceId instance, TimePoint now, Outbox &out)
    {
        this->transition.onInstanceDead(instance, now, out);
    }
    void onInstanceAlive(InstanceId instance) { this->transition.onInstanceAlive(instance); }

    /** \brief Expires idle flows and enforces the time limit of transitions.
     *
     * Must be called at least every 100 ms.
     */
    void tick(TimePoint now, Outbox &out)
    {
        this->store.tick(now);
        this->transition.tick(now, out);
    }

    [[nodiscard]] Transition::Phase phase() const { return this->transition.phase(); }
    [[nodiscard]] bool isInForceEverywhere() const
    {
        return this->transition.isInForceEverywhere();
    }
    [[nodiscard]] std::size_t flowCount() const { return this->store.size(); }

    /** \returns the memory used by flows and bucket tables in bytes. */
    [[nodiscard]] std::size_t bytes() const { return this->store.bytes(); }

private:
    FlowDecision placeUnknownFlow(ServiceState &service, std::uint64_t flowHash, bool asArbiter);
    FlowDecision refuse(RefusalReason reason);

    FlowRouterOptions options;
    Counters &counters;
    FlowStore store;
    Transition transition;
};

} // namespace bulrushgap
