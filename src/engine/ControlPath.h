#pragma once

#include "base/Counters.h"
#include "base/KeyedHash.h"
#include "engine/Action.h"
#include "engine/InstanceIdentity.h"
#include "membership/PauseDetector.h"
#include "membership/PeerTable.h"
#include "plan/ObjectStoreView.h"
#include "plan/PlanPacer.h"
#include "plan/PlanWriter.h"
#include "plan/Planner.h"

#include <functional>
#include <map>
#include <optional>
#include <string_view>

namespace bulrushgap {

struct ControlSettings
{
    Duration heartbeat = std::chrono::milliseconds(500);
    Duration peerTimeout = std::chrono::seconds(1);
    Duration tick = std::chrono::milliseconds(20);
    /** \brief Time after a start or a pause in which peers may report before planning begins. */
    Duration planningGrace = std::chrono::seconds(2);
    /** \brief Minimum interval between plans that change only weights and health.
     *
     * Every instance receives each plan in full, so frequent steps of slow start would use up the
     * bandwidth budget of the control path.
     */
    Duration planInterval = std::chrono::seconds(2);
};

/** \brief Reads and writes the plan object; implemented by the owner of this class. */
struct PlanStoreHooks
{
    std::function<void(const WritePlan &)> write;
    std::function<void()> read;
};

/** \brief Control plane of one instance: membership, the newest plan and planning. */
class ControlPath
{
public:
    /** \brief Called for each plan that becomes the newest known one. */
    using OnPlan = std::function<void(const Plan &)>;

    ControlPath(const InstanceIdentity &identity, const ControlSettings &settings,
                const KeyedHash &hash, Random &random, Counters &counters, PlanStoreHooks hooks,
                OnPlan onPlan);

    /** \returns whether the newest plan agrees with the failure domain that a peer claims. */
    [[nodiscard]] bool acceptsHello(const Hello &hello) const;

    void onHello(const Hello &hello, TimePoint now, Actions &actions);
    void onMessage(std::string_view peer, TimePoint now);
    void onHeartbeat(std::string_view peer, const Heartbeat &heartbeat, TimePoint now,
                     Actions &actions);
    void onPlanPush(const Plan &plan, TimePoint now, Actions &actions);
    void onPlanRequest(std::string_view peer, const PlanRequest &request, Actions &actions);
    void onUpstreamStatus(const UpstreamStatus &status);

    void onWriteResult(std::uint64_t writeId, const WriteResult &result, TimePoint now,
                       Actions &actions);
    void onReadResult(const ReadResult &result, TimePoint now, Actions &actions);

    /** \brief Runs timers.
     * \returns the peers that died since the last call
     */
    std::vector<std::string> tick(TimePoint now, Actions &actions);

    /** \returns whether a heartbeat is due; if so, restarts the heartbeat timer. */
    [[nodiscard]] bool pollHeartbeatTimer(TimePoint now);

    void beginStop() { this->leaving = true; }
    void setPlatformReachable(bool reachable) { this->platformReachable = reachable; }

    [[nodiscard]] Heartbeat heartbeat(PlanId inForce, std::vector<FreeSlots> freeSlots) const;

    /** \returns the name of the elected planner, or nothing if there is none. */
    [[nodiscard]] std::optional<std::string> plannerName(TimePoint now) const;

    /** \returns whether this instance needs the objects of operators.
     *
     * The planner and the instance that would succeed it need them.
     */
    [[nodiscard]] bool needsObjects(TimePoint now) const;

    /** \returns whether the store recently had no plan.
     *
     * No instance has served such a scope before, so the only requests that can be running are
     * those that the owners in the current plan hand over.
     */
    [[nodiscard]] bool scopeIsNew(TimePoint now) const { return now < this->scopeNewUntil; }

    /** \returns whether the state of this process is stale after a pause. */
    [[nodiscard]] bool stale() const { return this->pause.stale(); }

    [[nodiscard]] ObjectStoreView &objects() { return this->view; }
    [[nodiscard]] const PeerTable &peers() const { return this->peerTable; }
    [[nodiscard]] const Plan &newestPlan() const { return this->writer.base(); }

private:
    [[nodiscard]] std::vector<LiveInstance> liveInstances(TimePoint now) const;
    [[nodiscard]] PlannerInputs plannerInputs(TimePoint now) const;
    [[nodiscard]] bool mayPlan(TimePoint now) const;
    void plan(TimePoint now, Actions &actions);
    void execute(const PlanActions &planActions, TimePoint now, Actions &actions);
    void adopt(const Plan &plan, bool push, TimePoint now, Actions &actions);
    void eraseHealthOfRemoved(const Plan &plan);

    const InstanceIdentity &identity;
    ControlSettings settings;
    KeyedHash hash;
    Counters &counters;
    PlanStoreHooks hooks;
    OnPlan onPlan;
    PeerTable peerTable;
    PauseDetector pause;
    ObjectStoreView view;
    Planner planner;
    PlanPacer pacer;
    PlanWriter writer;
    std::map<UpstreamId, UpstreamStatus> upstreamHealth;
    std::optional<TimePoint> planningStart; //!< Earliest planning after a start or pause.
    TimePoint nextHeartbeat{};
    TimePoint nextPlanRequest{};
    TimePoint scopeNewUntil{};
    bool storeChecked = false; //!< The plan was read from the store or is missing.
    bool leaving = false;
    bool platformReachable = false;
};

} // namespace bulrushgap
