#include "engine/ControlPath.h"

#include "plan/PlannerElection.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

namespace internal {

/** A plan that another instance of a new scope has written in the meantime is younger than this, so
 * its owners hand over what they have sent. */
constexpr Duration newScopeTime = std::chrono::seconds(5);

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
    // A new boot may have moved; the same boot cannot.
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
    // The one that lacks a plan asks for it: pushes to it by all others would use up the budget.
    const auto known = this->newestPlan().id;
    if (heartbeat.newest > known && now >= this->nextPlanRequest) {
        this->nextPlanRequest = now + this->settings.heartbeat;
        actions.push_back(SendToPeer{std::string(peer), PlanRequest{known, false}});
    }
}

void ControlPath::onPlanPush(const Plan &plan, TimePoint now, Actions &actions)
{
    this->pause.onPlanIdReceived(now);
    this->carryOut(this->writer.observe(plan), now, actions);
}

void ControlPath::onPlanRequest(std::string_view peer, const PlanRequest &request, Actions &actions)
{
    if (this->newestPlan().id > request.known)
        actions.push_back(SendToPeer{std::string(peer), PlanPush{this->newestPlan()}});
}

void ControlPath::onUpstreamStatus(const UpstreamStatus &status)
{
    this->health.insert_or_assign(status.upstream, status);
}

void ControlPath::onWriteResult(std::uint64_t writeId, const WriteResult &result, TimePoint now,
                                Actions &actions)
{
    this->carryOut(this->writer.onWriteResult(writeId, result, now), now, actions);
}

void ControlPath::onReadResult(const ReadResult &result, TimePoint now, Actions &actions)
{
    using Kind = ReadResult::Kind;
    if (result.kind == Kind::Found || result.kind == Kind::Missing)
        this->storeRead = true;
    if (result.kind == Kind::Missing && this->newestPlan().id == PlanId{})
        this->scopeNewUntil = now + internal::newScopeTime;
    if (result.kind != Kind::Unavailable)
        this->pause.onPlanIdReceived(now);
    this->carryOut(this->writer.onReadResult(result, now), now, actions);
}

std::vector<std::string> ControlPath::tick(TimePoint now, Actions &actions)
{
    if (!this->planFrom) {
        this->planFrom = now + this->settings.planningGrace;
        this->carryOut(this->writer.load(now), now, actions);
    }
    if (const auto pauseLength = this->pause.tick(now)) {
        this->counters.add("pause_detected");
        this->planFrom = now + this->settings.planningGrace;
    }
    this->carryOut(this->writer.tick(now), now, actions);
    this->plan(now, actions);
    return this->peerTable.takeDeadPeers(now);
}

bool ControlPath::takeHeartbeatDue(TimePoint now)
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

bool ControlPath::wantsObjects(TimePoint now) const
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
    // If no live instance serves with the newest plan, nobody holds exceptions that the others
    // could take over: this instance starts alone, and the next plan adds the others.
    const bool served = std::ranges::any_of(inputs.instances, [&](const auto &instance) {
        const auto *listed = this->newestPlan().instance(instance.name);
        return listed != nullptr && listed->bootId == instance.bootId;
    });
    if (!served)
        std::erase_if(inputs.instances,
                      [&](const auto &instance) { return instance.name != this->identity.name; });
    for (const auto &[upstream, status] : this->health)
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
    if (!this->planFrom || now < *this->planFrom || this->pause.stale())
        return false;
    // A first plan without knowledge of the store could undo an accepted configuration.
    if (!this->storeRead && this->newestPlan().id == PlanId{})
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
    // An overlay is proposed again until the store has it.
    if (!due && !this->writer.unsaved())
        return;
    if (due)
        this->pacer.proposed(now);
    this->carryOut(this->writer.propose(candidate, now), now, actions);
}

void ControlPath::carryOut(const PlanActions &planActions, TimePoint now, Actions &actions)
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
    this->forgetStatusOfRemoved(plan);
    if (push) {
        for (const auto &peer : this->peerTable.livePeers(now))
            actions.push_back(SendToPeer{.peer = peer.name, .message = PlanPush{plan}});
    }
    this->onPlan(plan);
}

void ControlPath::forgetStatusOfRemoved(const Plan &plan)
{
    std::erase_if(this->health, [&](const auto &entry) {
        const auto *service = plan.service(entry.second.service);
        return service == nullptr || findUpstream(*service, entry.first) == nullptr;
    });
}

} // namespace bulrushgap
