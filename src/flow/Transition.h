#pragma once

#include "base/Counters.h"
#include "base/KeyedHash.h"
#include "base/Time.h"
#include "flow/FlowStore.h"
#include "message/PeerMessage.h"

#include <array>
#include <bitset>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace bulrushgap {

struct TransitionOptions
{
    Duration limit = std::chrono::seconds(2); //!< A transition that takes longer is forced to end.

    /** \brief How long to wait for instances that the new plan no longer contains. */
    Duration departedLimit = std::chrono::seconds(1);

    std::size_t recordsPerMessage = 20'000;  //!< About 180 KB encoded.
    std::size_t maxDeferredMessages = 1'024; //!< Messages for plans that are not known yet.

    /** \brief Fault injection: arbiters do not wait for Prepared. Used to verify that the
     * randomised tests detect a missing barrier. */
    bool skipBarrier = false;
};

struct TransitionHooks
{
    /** \brief Stops dispatching to upstreams that this instance does not own in \a next.
     * \returns the in-flight counts of these upstreams
     */
    std::function<std::vector<InFlightCount>(const Plan &next)> releaseAdmission;

    /** \brief Called when a plan is in force on this instance.
     *
     * \a released contains the in-flight counts that all instances released.
     */
    std::function<void(const Plan &plan, std::span<const InFlightCount> released)> onInForce;
};

/** \brief Which instance places a flow that is not recorded here, and by which table. */
enum class Placement {
    Base,  //!< This instance, by the table of the plan in force.
    Next,  //!< This instance, by the table of the next plan.
    Relay, //!< The arbiter of the bucket.
    None,  //!< No plan or no arbiter.
};

/** \brief Barrier protocol between two plans, as run by one instance; see section 3 of the design.
 *
 * Each bucket group has an arbiter. Instances send the arbiter a digest of their exceptions,
 * followed by Prepared. Once all are prepared, the arbiter sends all peers the union of the
 * exceptions of its groups. The plan comes into force on an instance once all awaited peers are
 * prepared and the exceptions of all groups are complete.
 *
 * Links between two instances must deliver in order. A digest without services requests the
 * receiver to repeat its digests and unions, followed by Prepared. An arbiter sends it when it
 * takes over bucket groups of an arbiter that died.
 */
class Transition
{
public:
    using Outbox = std::vector<OutboundMessage>;
    using Groups = std::bitset<bucketGroupCount>;

    enum class Phase {
        NoPlan,    //!< No plan.
        Preparing, //!< A newer plan is being adopted.
        Stable,    //!< The newest adopted plan is in force.
    };

    Transition(InstanceId self, std::uint64_t bootId, const TransitionOptions &options,
               const KeyedHash &hash, FlowStore &store, Counters &counters, TransitionHooks hooks)
        : self(self)
        , bootId(bootId)
        , options(options)
        , hash(hash)
        , store(store)
        , counters(counters)
        , hooks(std::move(hooks))
    {}

    /** \brief Starts to adopt a newer plan, or queues it while another one is being adopted. */
    void onPlan(const Plan &plan, TimePoint now, Outbox &out);

    /** \brief Adopts the plan in force of a peer without a barrier.
     *
     * The snapshot must contain all exceptions.
     * \returns whether the plan was adopted
     */
    bool onSnapshot(const Snapshot &snapshot, TimePoint now, Outbox &out);

    void onDigest(InstanceId from, const Digest &digest, TimePoint now, Outbox &out);
    void onPrepared(InstanceId from, const Prepared &prepared, TimePoint now, Outbox &out);
    void onUnion(InstanceId from, const Union &message, TimePoint now, Outbox &out);
    void onInForce(InstanceId from, const InForce &message, TimePoint now, Outbox &out);

    /** \brief Handles a peer that sent nothing for the peer timeout, or never since it is known. */
    void onInstanceDead(InstanceId instance, TimePoint now, Outbox &out);

    /** \brief Handles the first message of any kind from an instance that was reported dead. */
    void onInstanceAlive(InstanceId instance);

    void tick(TimePoint now, Outbox &out);

    /** \returns who places a flow of \a bucket that is not recorded here. */
    [[nodiscard]] Placement placement(const ServiceState &service, std::uint16_t bucket) const;

    /** \returns the arbiter of the group of \a bucket, or nothing if no candidate is alive. */
    [[nodiscard]] std::optional<InstanceId> arbiterOf(std::uint16_t bucket) const
    {
        return this->arbiters.at(groupOf(bucket));
    }

    [[nodiscard]] Phase phase() const { return this->currentPhase; }

    /** \returns the plan in force, or nullptr. */
    [[nodiscard]] const Plan *inForce() const { return this->base ? &*this->base : nullptr; }

    /** \returns the plan in force or being adopted, or nullptr. */
    [[nodiscard]] const Plan *newest() const { return this->target ? &*this->target : nullptr; }

    /** \returns whether all live instances have reported the plan in force. */
    [[nodiscard]] bool isInForceEverywhere() const;

private:
    struct Peer
    {
        std::size_t prepared = 0;             //!< Prepared messages received for the target plan.
        std::size_t repetitionsRequested = 0; //!< Repetitions requested from the peer.
        bool wasMember = false;               //!< In the plan in force when the transition began.
        bool departed = false;                //!< In the plan in force but not in the target.
        bool inForce = false;
    };

    struct DeferredMessage
    {
        InstanceId from;
        std::variant<Digest, Prepared, Union, InForce> message;
    };

    void begin(const Plan &plan, TimePoint now, Outbox &out);
    void initializePeers();
    void selectArbiterCandidates();
    void electArbiters();
    void finish(TimePoint now, Outbox &out);
    void startQueued(TimePoint now, Outbox &out);
    void replayDeferred(TimePoint now, Outbox &out);
    void checkBarrier(TimePoint now, Outbox &out);
    void publishUnions(const Groups &groups, Outbox &out);
    void sendDigests(const Groups &groups, std::optional<InstanceId> to, Outbox &out) const;
    void sendUnion(InstanceId to, const Groups &groups, Outbox &out) const;
    void sendRepetition(InstanceId requester, Outbox &out) const;
    void requestRepetition(InstanceId instance, Outbox &out);
    void checkTargetSkipped(InstanceId from, const PlanId &plan, TimePoint now, Outbox &out);

    /** \returns whether the message is for the target plan; a message for a newer one is deferred.
     */
    template <typename Message>
    bool accept(InstanceId from, const Message &message);

    [[nodiscard]] bool isMember(const Plan &plan) const;
    [[nodiscard]] bool isAwaited(InstanceId id, const Peer &peer) const;
    [[nodiscard]] bool hasAllPrepared(bool includeRepetitions) const;
    [[nodiscard]] Groups ownGroups() const;

    InstanceId self;
    std::uint64_t bootId;
    TransitionOptions options;
    KeyedHash hash;
    FlowStore &store;
    Counters &counters;
    TransitionHooks hooks;

    Phase currentPhase = Phase::NoPlan;
    std::optional<Plan> base;   //!< In force.
    std::optional<Plan> target; //!< Being adopted, or equal to base.
    std::optional<Plan> queued; //!< Newest plan; adopted after the target.
    TimePoint started{};
    std::map<InstanceId, Peer> peers;
    std::vector<InstanceId> candidates; //!< Instances that may be arbiters.
    std::array<std::optional<InstanceId>, bucketGroupCount> arbiters;
    Groups completeGroups;  //!< All exceptions are known here.
    Groups movedGroups;     //!< Groups with buckets that the target moves.
    Groups publishedGroups; //!< Their union was sent to all peers.
    Groups takenOverGroups; //!< Taken over from a dead arbiter.
    bool isBaseMember = false;
    bool isTargetMember = false;
    bool ignoreDeparted = false;
    bool planDiverged = false;  //!< A peer had another plan in force when the transition began.
    bool targetSkipped = false; //!< A peer skipped the target, which cannot come into force.
    std::vector<InFlightCount> ownReleased;
    std::vector<InFlightCount> released;
    std::set<InstanceId> dead;
    std::set<InstanceId> recovered; //!< Alive again; take part from the next transition on.
    std::deque<DeferredMessage> deferred;
};

} // namespace bulrushgap
