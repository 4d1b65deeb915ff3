#pragma once

#include "engine/Action.h"
#include "engine/ActiveInstance.h"
#include "engine/ControlPath.h"
#include "engine/InstanceIdentity.h"
#include "engine/RelayFilter.h"

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushgap {

struct EngineSettings
{
    ActiveInstanceSettings active;
    ControlSettings control;
    /** \brief Must exceed the longest deadline of a request. */
    Duration relayIdRetention = std::chrono::seconds(30);
};

/** \brief Status of one instance, as shown to operators. */
struct EngineStatus
{
    PlanId inForce;
    PlanId newest;
    std::uint64_t configVersion = 0;       //!< Of the plan in force.
    std::uint64_t newestConfigVersion = 0; //!< Of the newest plan.
    std::string planner;
    bool ready = false;
    bool stale = false;
    std::size_t flows = 0;
    std::size_t heldRequests = 0;
    std::vector<InstanceProgress> instances; //!< The other instances.
};

/** \brief All decisions of one instance, without I/O.
 *
 * Entry points take the current time and append the resulting actions to \a actions.
 */
class InstanceEngine
{
public:
    InstanceEngine(InstanceIdentity identity, const EngineSettings &settings, const KeyedHash &hash,
                   Random &random, Counters &counters, PlanStoreHooks storeHooks);

    InstanceEngine(const InstanceEngine &) = delete;
    InstanceEngine &operator=(const InstanceEngine &) = delete;

    /** \brief Handles a packet from the fabric. */
    void onPacket(const Packet &packet, TimePoint now, Actions &actions);

    /** \brief Handles a packet that a peer relayed. */
    void onRelayedPacket(const RelayHeader &header, const Packet &packet, TimePoint now,
                         Actions &actions);

    void onPeerUp(const Hello &hello, TimePoint now, Actions &actions);
    void onPeerMessage(std::string_view peer, const PeerMessage &message, TimePoint now,
                       Actions &actions);

    void onPlanWritten(std::uint64_t writeId, const WriteResult &result, TimePoint now,
                       Actions &actions);
    void onPlanRead(const ReadResult &result, TimePoint now, Actions &actions);

    /** \brief Runs timers; call it every ControlSettings::tick. */
    void tick(TimePoint now, Actions &actions);

    /** \brief Starts a graceful shutdown. \sa stopped() */
    void beginStop(TimePoint now);

    /** \returns whether the process can exit without interrupting a request. */
    [[nodiscard]] bool stopped(TimePoint now) const;

    [[nodiscard]] bool ready() const;
    [[nodiscard]] EngineStatus status(TimePoint now) const;
    [[nodiscard]] Hello hello() const;
    [[nodiscard]] const InstanceIdentity &self() const { return this->identity; }
    [[nodiscard]] ControlPath &control() { return this->controlPath; }
    [[nodiscard]] const Plan *planInForce() const;

private:
    void handle(const Packet &packet, const RelayHeader *header, TimePoint now, Actions &actions);
    void handleActive(const Packet &packet, const RelayHeader *header, const Plan &plan,
                      TimePoint now, Actions &actions);
    void relayToReadyPeer(const Packet &packet, const RelayHeader *header, TimePoint now,
                          Actions &actions);
    void onNewestPlan(const Plan &plan);
    void activate(const PlanInstance &own);
    void onHeartbeat(std::string_view peer, const Heartbeat &heartbeat, TimePoint now,
                     Actions &actions);
    /** \brief Sends the in-flight counts at released upstreams to a peer with the same plan in
     * force. */
    void sendReleasedCounts(std::string_view peer, const Heartbeat &heartbeat, Actions &actions);
    void onPrepared(InstanceId from, const Prepared &prepared, TimePoint now);
    void onTransitionMessage(InstanceId from, const PeerMessage &message, TimePoint now);
    void queueEarlyMessage(std::string_view peer, const PeerMessage &message);
    void replayEarlyMessages(TimePoint now);
    void flushOutbox(Actions &actions);
    void sendHeartbeats(TimePoint now, Actions &actions);
    void reportHealth(TimePoint now, Actions &actions);
    [[nodiscard]] bool isListedInPlanInForce() const;
    [[nodiscard]] std::optional<std::uint64_t> liveBoot(InstanceId id) const;

    InstanceIdentity identity;
    EngineSettings settings;
    KeyedHash hash;
    Random &random;
    Counters &counters;
    TimePoint currentTime{}; //!< Time of the call that is being handled.
    ControlPath controlPath;
    RelayFilter relayFilter;
    std::unique_ptr<ActiveInstance> active; //!< Set once a plan lists this boot.
    FlowRouter::Outbox outbox;
    /** \brief Transition messages of peers without an id in the newest known plan. */
    std::deque<std::pair<std::string, PeerMessage>> earlyMessages;
    bool stopping = false;
    std::uint64_t nextRelayId = 1;
};

} // namespace bulrushgap
