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
    Duration limit = std::chrono::seconds(2); //!< A transition is forced to end after this time.

    /** \brief How long to wait for instances of the old plan that the new one lacks. */
    Duration departedLimit = std::chrono::seconds(1);

    std::size_t recordsPerMessage = 20'000; //!< About 180 KB encoded.
    std::size_t keptMessages = 1'024;       //!< Messages kept for plans not yet known.

    /** \brief Fault for the test of the tests: arbiters do not wait for Prepared. */
    bool skipBarrier = false;
};

struct TransitionHooks
{
    /** \brief Stops dispatching to upstreams that are not owned in \a next.
     * \returns the in-flight counts of these upstreams.
     */
    std::function<std::vector<InFlightCount>(const Plan &next)> releaseAdmission;

    /** \brief The plan is in force here; \a released holds the counts of all instances. */
    std::function<void(const Plan &plan, std::span<const InFlightCount> released)> onInForce;
};

/** \brief Who places an unknown flow. */
enum class Placement {
    Base,  //!< This instance, by the table of the plan in force.
    Next,  //!< This instance, by the table of the next plan.
    Relay, //!< The arbiter of the bucket.
    None,  //!< No plan or no arbiter.
};

/** \brief Barrier between two plans on one instance; see section 3 of the design.
 *
 * Links between two instances must deliver in order. A digest without services asks the receiver
 * to repeat its digests and unions, followed by Prepared; an arbiter sends it when it takes over
 * bucket groups of a lost one.
 */
class Transition
{
public:
    using Outbox = std::vector<OutboundMessage>;
    using Groups = std::bitset<bucketGroupCount>;

    enum class Phase {
        Empty,     //!< No plan.
        Preparing, //!< A newer plan waits for the barrier.
        Stable,    //!< The newest known plan is in force.
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

    /** \brief Adopts a newer plan, or queues it while another one is being adopted. */
    void onPlan(const Plan &plan, TimePoint now, Outbox &out);

    /** \brief Adopts a peer's plan in force without a barrier; needs complete exceptions.
     * \returns whether the plan was adopted.
     */
    bool onSnapshot(const Snapshot &snapshot, TimePoint now, Outbox &out);

    void onDigest(InstanceId from, const Digest &digest, TimePoint now, Outbox &out);
    void onPrepared(InstanceId from, const Prepared &prepared, TimePoint now, Outbox &out);
    void onUnion(InstanceId from, const Union &message, TimePoint now, Outbox &out);
    void onInForce(InstanceId from, const InForce &message, TimePoint now, Outbox &out);

    /** \brief No message came for the peer timeout, or none ever since this instance knows it. */
    void onInstanceDead(InstanceId instance, TimePoint now, Outbox &out);

    /** \brief The first message, of any kind, of an instance that was reported dead. */
    void onInstanceAlive(InstanceId instance);

    void tick(TimePoint now, Outbox &out);

    /** \returns who places an unknown flow of \a bucket. */
    [[nodiscard]] Placement placement(const ServiceState &service, std::uint16_t bucket) const;

    /** \returns the arbiter of the bucket's group, as far as one lives. */
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
        std::size_t prepared = 0; //!< Prepared messages received for the target plan.
        std::size_t asked = 0;    //!< Repetitions that were asked for.
        bool member = false;      //!< In the plan in force when the transition began.
        bool departed = false;    //!< In the plan in force but not in the target.
        bool inForce = false;
    };

    struct Kept
    {
        InstanceId from;
        std::variant<Digest, Prepared, Union, InForce> message;
    };

    void begin(const Plan &plan, TimePoint now, Outbox &out);
    void listPeers();
    void listCandidates();
    void electArbiters();
    void finish(TimePoint now, Outbox &out);
    void startQueued(TimePoint now, Outbox &out);
    void replayKept(TimePoint now, Outbox &out);
    void progress(TimePoint now, Outbox &out);
    void unite(const Groups &groups, Outbox &out);
    void sendDigests(const Groups &groups, std::optional<InstanceId> to, Outbox &out) const;
    void sendUnion(InstanceId to, const Groups &groups, Outbox &out) const;
    void repeatFor(InstanceId asker, Outbox &out) const;
    void ask(InstanceId instance, Outbox &out);
    void noteSkipped(InstanceId from, const PlanId &plan, TimePoint now, Outbox &out);

    /** \returns whether the message is for the target plan; a message for a newer one is kept. */
    template <typename Message>
    bool accept(InstanceId from, const Message &message);

    [[nodiscard]] bool isMember(const Plan &plan) const;
    [[nodiscard]] bool isAwaited(InstanceId id, const Peer &peer) const;
    [[nodiscard]] bool hasAllPrepared(bool repeated) const;
    [[nodiscard]] Groups ownGroups() const;

    InstanceId self;
    std::uint64_t bootId;
    TransitionOptions options;
    KeyedHash hash;
    FlowStore &store;
    Counters &counters;
    TransitionHooks hooks;

    Phase currentPhase = Phase::Empty;
    std::optional<Plan> base;   //!< In force.
    std::optional<Plan> target; //!< Being adopted, or equal to base.
    std::optional<Plan> queued; //!< Newest plan that waits for the target.
    TimePoint started{};
    std::map<InstanceId, Peer> peers;
    std::vector<InstanceId> candidates; //!< Instances that may be arbiters.
    std::array<std::optional<InstanceId>, bucketGroupCount> arbiters;
    Groups united;    //!< Exceptions are complete here.
    Groups moved;     //!< Groups with buckets that the target moves.
    Groups sent;      //!< Groups whose union was sent to all.
    Groups takenOver; //!< Groups of this instance that a lost arbiter had before.
    bool baseMember = false;
    bool targetMember = false;
    bool dropDeparted = false;
    bool diverged = false; //!< A peer had another plan in force when the transition began.
    bool skipped = false;  //!< An instance passed the target over, so it cannot come into force.
    std::vector<InFlightCount> ownReleased;
    std::vector<InFlightCount> released;
    std::set<InstanceId> dead;
    std::set<InstanceId> revived; //!< Alive again; counts from the next transition on.
    std::deque<Kept> kept;
};

} // namespace bulrushgap
