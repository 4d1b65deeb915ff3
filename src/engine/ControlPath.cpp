#include "engine/ControlPath.h"

#include "plan/PlannerElection.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

namespace internal {

/** \brief How long a scope counts as new after the store was found without a plan.
 *
 * A plan that another instance writes to a new scope is more recent than this, so its owners hand
 * over the requests that they have dispatched.
 */
constexpr Duration newScopePeriod = std::chrono::seconds(5);

} // namespace internal

ControlPath::ControlPath(const InstanceIdentity &identity, const ControlSettings &settings,
                         const KeyedHash &hash, Random &random, Counters &counters,
                         PlanStoreHooks hooks, OnPlan onPlan)
    : identity(identity)
    , settings(settings)
    , hash(hash)
    , counters(counters)
    , hooks(std::move(hooks))
    , onPlan(std::move(onPlan))
    , peerTable(counters, settings.peerTimeout)
    , pause(settings.tick, settings.peerTimeout)
    , view(counters)
    , planner(counters)
    , pacer(settings.planInterval)
    , writer(PlanWriterSettings{.writer = planWriterId(identity.name, identity.bootId, hash)},
             counters, random)
{}

bool ControlPath::acceptsHello(const Hello &hello) const
{
    const auto *listed = this->newestPlan().instance(hello.instance);
    // Only a new boot may be in another failure domain.
    if (listed == nullptr || listed->bootId != hello.bootId)
        return true;
    const auto *domain = this->newestPlan().domain(listed->domain);
    return domain == nullptr || domain->name == hello.domain;
}

void ControlPath::onHello(const Hello &hello, TimePoint now, Actions &actions)
{
    this->peerTable.onHello(hello, now);
    actions.push_back(
        SendToPeer{.peer = hello.instance, .message = PlanRequest{this->newestPlan().id, false}});
}

void ControlPath::onMessage(std::string_view peer, TimePoint now)
{
    this->peerTable.onMessage(peer, now);
}

void ControlPath::onHeartbeat(std::string_view peer, const Heartbeat &heartbeat, TimePoint now,
                              Actions &actions)
{
    this->peerTable.onHeartbeat(peer, heartbeat, now);
    this->pause.onPlanIdReceived(now);
    // An instance that lacks a plan requests it. If all others pushed the plan instead, they would
    // use up the bandwidth budget.
    const auto known = this->newestPlan().id;
    if (heartbeat.newest > known && now >= this->nextPlanRequest) {
        this->nextPlanRequest = now + this->settings.heartbeat;
        actions.push_back(SendToPeer{std::string(peer), PlanRequest{known, false}});
    }
}

void ControlPath::onPlanPush(const Plan &plan, TimePoint now, Actions &actions)
{
    this->pause.onPlanIdReceived(now);
    this->execute(this->writer.observe(plan), now, actions);
}

void ControlPath::onPlanRequest(std::string_view peer, const PlanRequest &request, Actions &actions)
{
    if (this->newestPlan().id > request.known)
        actions.push_back(SendToPeer{std::string(peer), PlanPush{this->newestPlan()}});
}

void ControlPath::onUpstreamStatus(const UpstreamStatus &status)
{
    this->upstreamHealth.insert_or_assign(status.upstream, status);
}

void ControlPath::onWriteResult(std::uint64_t writeId, const WriteResult &result, TimePoint now,
                                Actions &actions)
{
    this->execute(this->writer.onWriteResult(writeId, result, now), now, actions);
}

void ControlPath::onReadResult(const ReadResult &result, TimePoint now, Actions &actions)
{
    using Kind = ReadResult::Kind;
    if (result.kind == Kind::Found || result.kind == Kind::Missing)
        this->storeChecked = true;
    if (result.kind == Kind::Missing && this->newestPlan().id == PlanId{})
        this->scopeNewUntil = now + internal::newScopePeriod;
    if (result.kind != Kind::Unavailable)
        this->pause.onPlanIdReceived(now);
    this->execute(this->writer.onReadResult(result, now), now, actions);
}

std::vector<std::string> ControlPath::tick(TimePoint now, Actions &actions)
{
    if (!this->planningStart) {
        this->planningStart = now + this->settings.planningGrace;
        this->execute(this->writer.load(now), now, actions);
    }
    if (const auto pauseLength = this->pause.tick(now)) {
        this->counters.add("pause_detected");
        this->planningStart = now + this->settings.planningGrace;
    }
    this->execute(this->writer.tick(now), now, actions);
    this->plan(now, actions);
    return this->peerTable.takeDeadPeers(now);
}

bool ControlPath::pollHeartbeatTimer(TimePoint now)
{
    if (now < this->nextHeartbeat)
        return false;
    this->nextHeartbeat = now + this->settings.heartbeat;
    return true;
}

Heartbeat ControlPath::heartbeat(PlanId inForce, std::vector<FreeSlots> freeSlots) const
{
    return {.inForce = inForce,
            .newest = this->newestPlan().id,
            .leaving = this->leaving,
            .platformReachable = this->platformReachable,
            .freeSlots = std::move(freeSlots)};
}

std::vector<LiveInstance> ControlPath::liveInstances(TimePoint now) const
{
    auto instances = this->peerTable.livePeers(now);
    instances.push_back({.name = this->identity.name,
                         .domain = this->identity.domain,
                         .peerAddress = this->identity.peerAddress,
                         .dataAddress = this->identity.dataAddress,
                         .bootId = this->identity.bootId,
                         .leaving = this->leaving});
    return instances;
}

std::optional<std::string> ControlPath::plannerName(TimePoint now) const
{
    const auto instances = this->liveInstances(now);
    const auto *elected = electPlanner(instances, this->identity.scope, this->hash);
    return elected != nullptr ? std::optional(elected->name) : std::nullopt;
}

bool ControlPath::needsObjects(TimePoint now) const
{
    auto instances = this->liveInstances(now);
    const auto first = this->plannerName(now);
    if (!first || *first == this->identity.name)
        return true;
    std::erase_if(instances, [&](const auto &instance) { return instance.name == *first; });
    return isPlanner(this->identity.name, instances, this->identity.scope, this->hash);
}

PlannerInputs ControlPath::plannerInputs(TimePoint now) const
{
    PlannerInputs inputs;
    inputs.instances = this->liveInstances(now);
    // If no live instance serves with the newest plan, there are no exceptions to take over. This
    // instance then starts alone, and the next plan adds the others.
    const bool served = std::ranges::any_of(inputs.instances, [&](const auto &instance) {
        const auto *listed = this->newestPlan().instance(instance.name);
        return listed != nullptr && listed->bootId == instance.bootId;
    });
    if (!served)
        std::erase_if(inputs.instances,
                      [&](const auto &instance) { return instance.name != this->identity.name; });
    for (const auto &[upstream, status] : this->upstreamHealth)
        inputs.health.push_back(status);
    inputs.reachableDomains = this->peerTable.reachableDomains(now);
    if (std::ranges::find(inputs.reachableDomains, this->identity.domain)
        == inputs.reachableDomains.end())
        inputs.reachableDomains.push_back(this->identity.domain);
    inputs.storeWritable = !this->writer.inOutage(now);
    inputs.writer = planWriterId(this->identity.name, this->identity.bootId, this->hash);
    return inputs;
}

bool ControlPath::mayPlan(TimePoint now) const
{
    if (!this->planningStart || now < *this->planningStart || this->pause.stale())
        return false;
    // A first plan made before the store was read could revert an accepted configuration.
    if (!this->storeChecked && this->newestPlan().id == PlanId{})
        return false;
    return this->plannerName(now) == this->identity.name;
}

void ControlPath::plan(TimePoint now, Actions &actions)
{
    if (!this->mayPlan(now) || !this->writer.ready(now))
        return;
    const auto candidate
        = this->planner.next(this->view, this->newestPlan(), this->plannerInputs(now));
    const bool due = this->pacer.due(candidate, this->newestPlan(), now);
    // An overlay is proposed again until it is saved in the store.
    if (!due && !this->writer.unsaved())
        return;
    if (due)
        this->pacer.proposed(now);
    this->execute(this->writer.propose(candidate, now), now, actions);
}

void ControlPath::execute(const PlanActions &planActions, TimePoint now, Actions &actions)
{
    for (const auto &action : planActions) {
        if (const auto *write = std::get_if<WritePlan>(&action)) {
            this->hooks.write(*write);
        } else if (std::holds_alternative<ReadPlan>(action)) {
            this->hooks.read();
        } else if (const auto *adopted = std::get_if<AdoptPlan>(&action)) {
            if (adopted->rival && this->plannerName(now) == this->identity.name)
                this->pacer.rivalAdopted(now);
            this->adopt(adopted->plan, !adopted->rival, now, actions);
        } else {
            this->adopt(std::get<PublishOverlay>(action).plan, true, now, actions);
        }
    }
}

void ControlPath::adopt(const Plan &plan, bool push, TimePoint now, Actions &actions)
{
    this->peerTable.onPlan(plan);
    this->eraseHealthOfRemoved(plan);
    if (push) {
        for (const auto &peer : this->peerTable.livePeers(now))
            actions.push_back(SendToPeer{.peer = peer.name, .message = PlanPush{plan}});
    }
    this->onPlan(plan);
}

void ControlPath::eraseHealthOfRemoved(const Plan &plan)
{
    std::erase_if(this->upstreamHealth, [&](const auto &entry) {
        const auto *service = plan.service(entry.second.service);
        return service == nullptr || findUpstream(*service, entry.first) == nullptr;
    });
}

} // namespace bulrushgap
