#include "flow/Transition.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

namespace internal {

/** \brief Separates the hashes of bucket groups from other uses of the keyed hash. */
constexpr std::uint64_t arbiterSalt = 0x61726269'00000000;

template <typename Message>
const PlanId &planOf(const Message &message)
{
    return message.plan;
}

/** \brief Splits \a flows into parts of at most \a limit records and calls \a send for each. */
void splitFlows(std::vector<ServiceFlows> flows, std::size_t limit,
                const std::function<void(std::vector<ServiceFlows>, bool last)> &send)
{
    std::vector<ServiceFlows> part;
    std::size_t room = limit;
    for (ServiceFlows &list : flows) {
        for (std::size_t taken = 0; taken < list.flows.size();) {
            if (room == 0) {
                send(std::exchange(part, {}), false);
                room = limit;
            }
            const std::size_t count = std::min(room, list.flows.size() - taken);
            const auto first = list.flows.begin() + static_cast<std::ptrdiff_t>(taken);
            part.push_back({list.service, {first, first + static_cast<std::ptrdiff_t>(count)}});
            taken += count;
            room -= count;
        }
    }
    send(std::move(part), true);
}

/** \returns whether the instance has the same boot id in both plans. */
bool isSameBoot(const Plan &before, const Plan &after, InstanceId id)
{
    const PlanInstance *old = before.instance(id);
    const PlanInstance *current = after.instance(id);
    return old != nullptr && current != nullptr && old->bootId == current->bootId;
}

} // namespace internal

void Transition::onPlan(const Plan &plan, TimePoint now, Outbox &out)
{
    if (this->target && plan.id <= this->target->id)
        return;
    if (this->currentPhase == Phase::Preparing && !this->targetSkipped) {
        if (!this->queued || this->queued->id < plan.id)
            this->queued = plan;
        return;
    }
    this->begin(plan, now, out);
}

bool Transition::onSnapshot(const Snapshot &snapshot, TimePoint now, Outbox &out)
{
    if (this->base && snapshot.plan.id <= this->base->id)
        return false;
    const bool unprepared = !this->target || this->target->id < snapshot.plan.id;
    const bool older = this->target && snapshot.plan.id < this->target->id;
    const std::optional<Plan> newer
        = this->queued ? this->queued : (older ? this->target : std::nullopt);
    this->store.setNext(snapshot.plan);
    this->store.promote();
    this->store.merge(snapshot.exceptions, false);
    this->base = snapshot.plan;
    this->target = snapshot.plan;
    this->queued.reset();
    this->peers.clear();
    this->initializePeers();
    this->selectArbiterCandidates();
    this->electArbiters();
    this->completeGroups.set();
    this->ownReleased.clear();
    this->currentPhase = Phase::Stable;
    if (this->hooks.onInForce)
        this->hooks.onInForce(*this->base, {});
    for (auto &[id, peer] : this->peers) {
        peer.inForce = true;
        if (unprepared && this->isTargetMember && !this->dead.contains(id))
            out.push_back({id, Prepared{this->base->id, {}}});
    }
    if (newer && newer->id > snapshot.plan.id)
        this->begin(*newer, now, out);
    else
        this->replayDeferred(now, out);
    return true;
}

void Transition::begin(const Plan &plan, TimePoint now, Outbox &out)
{
    this->currentPhase = Phase::Preparing;
    this->target = plan;
    if (this->queued && this->queued->id <= plan.id)
        this->queued.reset();
    this->started = now;
    for (const InstanceId id : std::exchange(this->recovered, {}))
        this->dead.erase(id);
    this->targetSkipped = false;
    this->planDiverged = false;
    this->ignoreDeparted = plan.instances.size() == 1;
    this->store.setNext(plan);
    this->peers.clear();
    this->initializePeers();
    this->selectArbiterCandidates();
    this->electArbiters();
    this->takenOverGroups.reset();
    this->publishedGroups.reset();
    this->movedGroups = this->store.movedGroups();
    this->completeGroups = this->isBaseMember ? ~this->movedGroups : Groups{};
    if (this->hooks.releaseAdmission) {
        const auto counts = this->hooks.releaseAdmission(plan);
        this->ownReleased.insert(this->ownReleased.end(), counts.begin(), counts.end());
    }
    this->released = this->ownReleased;
    if (this->base)
        this->sendDigests(~this->completeGroups, std::nullopt, out);
    for (const auto &[id, peer] : this->peers)
        if (!this->dead.contains(id))
            out.push_back({id, Prepared{plan.id, this->ownReleased}});
    this->replayDeferred(now, out);
    // Deferred messages may have ended this transition and begun the next one.
    if (this->currentPhase == Phase::Preparing && this->target->id == plan.id)
        this->checkBarrier(now, out);
}

void Transition::initializePeers()
{
    this->isBaseMember = this->base && this->isMember(*this->base);
    this->isTargetMember = this->isMember(*this->target);
    for (const PlanInstance &instance : this->target->instances) {
        const bool member
            = this->base && internal::isSameBoot(*this->base, *this->target, instance.id);
        this->peers[instance.id].wasMember = member;
    }
    if (this->base)
        for (const PlanInstance &instance : this->base->instances)
            if (this->target->instance(instance.id) == nullptr)
                this->peers[instance.id].departed = true;
    this->peers.erase(this->self);
}

void Transition::selectArbiterCandidates()
{
    // A joining instance does not know all exceptions and cannot be an arbiter, unless all join.
    this->candidates.clear();
    for (const PlanInstance &instance : this->target->instances)
        if (!instance.leaving && this->base
            && internal::isSameBoot(*this->base, *this->target, instance.id))
            this->candidates.push_back(instance.id);
    if (!this->candidates.empty())
        return;
    const bool alone = this->target->instances.size() == 1;
    for (const PlanInstance &instance : this->target->instances)
        if (alone || (!instance.leaving && (this->base || instance.id != this->self)))
            this->candidates.push_back(instance.id);
}

void Transition::electArbiters()
{
    for (std::size_t group = 0; group < bucketGroupCount; ++group) {
        std::optional<InstanceId> best;
        std::uint64_t bestRank = 0;
        for (const InstanceId id : this->candidates) {
            const std::uint64_t rank = this->hash(internal::arbiterSalt | group, id.value);
            if (!this->dead.contains(id) && (!best || rank > bestRank)) {
                best = id;
                bestRank = rank;
            }
        }
        this->arbiters.at(group) = best;
    }
}

void Transition::onDigest(InstanceId from, const Digest &digest, TimePoint now, Outbox &out)
{
    this->checkTargetSkipped(from, digest.plan, now, out);
    if (!this->accept(from, digest))
        return;
    if (digest.services.empty()) {
        this->sendRepetition(from, out);
        return;
    }
    if (this->currentPhase != Phase::Preparing)
        return;
    this->planDiverged
        = this->planDiverged || this->store.hasFlowsInUnmovedBuckets(digest.services);
    this->counters.add("invariant_flow_moved", this->store.merge(digest.services, false));
}

void Transition::onPrepared(InstanceId from, const Prepared &prepared, TimePoint now, Outbox &out)
{
    this->checkTargetSkipped(from, prepared.plan, now, out);
    if (!this->accept(from, prepared))
        return;
    const auto found = this->peers.find(from);
    if (found == this->peers.end())
        return;
    const bool first = found->second.prepared++ == 0;
    if (this->currentPhase == Phase::Stable) {
        // The barrier ended without the sender, which now needs the unions.
        if (first)
            this->sendUnion(from, this->ownGroups(), out);
        return;
    }
    if (first)
        this->released.insert(this->released.end(), prepared.inFlight.begin(),
                              prepared.inFlight.end());
    this->checkBarrier(now, out);
}

void Transition::onUnion(InstanceId from, const Union &message, TimePoint now, Outbox &out)
{
    if (!this->accept(from, message))
        return;
    const bool preparing = this->currentPhase == Phase::Preparing;
    this->counters.add("invariant_flow_moved", this->store.merge(message.services, true));
    if (!preparing)
        return;
    Groups forward;
    for (const std::uint8_t group : message.groups) {
        if (group >= bucketGroupCount || this->completeGroups.test(group))
            continue;
        if (this->arbiters.at(group) == this->self)
            forward.set(group);
        else
            this->completeGroups.set(group);
    }
    this->publishUnions(forward, out);
    this->checkBarrier(now, out);
}

void Transition::onInForce(InstanceId from, const InForce &message, TimePoint /*now*/,
                           Outbox & /*out*/)
{
    if (!this->accept(from, message))
        return;
    const auto found = this->peers.find(from);
    if (found != this->peers.end())
        found->second.inForce = true;
}

void Transition::onInstanceDead(InstanceId instance, TimePoint now, Outbox &out)
{
    this->recovered.erase(instance);
    if (!this->dead.insert(instance).second || this->currentPhase == Phase::NoPlan)
        return;
    const auto before = this->arbiters;
    this->electArbiters();
    Groups lost;
    Groups complete;
    std::set<InstanceId> receivers;
    for (std::size_t group = 0; group < bucketGroupCount; ++group) {
        const auto &arbiter = this->arbiters.at(group);
        if (before.at(group) != instance || !arbiter)
            continue;
        if (arbiter == this->self)
            (this->completeGroups.test(group) ? complete : lost).set(group);
        else if (!this->completeGroups.test(group))
            receivers.insert(*arbiter);
    }
    this->takenOverGroups |= lost;
    // Some instances may not have received the unions of the dead arbiter.
    for (const auto &[id, peer] : this->peers)
        if (complete.any() && !peer.inForce && !this->dead.contains(id))
            this->sendUnion(id, complete, out);
    if (lost.any())
        for (const auto &[id, peer] : this->peers)
            if (this->isAwaited(id, peer))
                receivers.insert(id);
    for (const InstanceId id : receivers)
        this->requestRepetition(id, out);
    this->checkBarrier(now, out);
}

void Transition::onInstanceAlive(InstanceId instance)
{
    // During a transition, the groups of the instance have been reassigned already.
    if (this->currentPhase == Phase::Preparing)
        this->recovered.insert(instance);
    else if (this->dead.erase(instance) > 0)
        this->electArbiters();
}

void Transition::tick(TimePoint now, Outbox &out)
{
    if (this->currentPhase != Phase::Preparing)
        return;
    if (now - this->started >= this->options.departedLimit)
        this->ignoreDeparted = true;
    if (now - this->started < this->options.limit) {
        this->checkBarrier(now, out);
        return;
    }
    this->counters.add("transition_forced");
    this->publishUnions(this->ownGroups() & ~this->publishedGroups, out);
    this->finish(now, out);
}

Placement Transition::placement(const ServiceState &service, std::uint16_t bucket) const
{
    const std::size_t group = groupOf(bucket);
    const bool stable = this->currentPhase == Phase::Stable;
    if (!this->target)
        return Placement::None;
    const bool local
        = stable ? this->isTargetMember : this->isBaseMember && !service.isMoved(bucket);
    if (local)
        return Placement::Base;
    if (this->completeGroups.test(group) && this->isTargetMember)
        return Placement::Next;
    if (this->isBaseMember && !service.isUsable(service.baseUpstream(bucket)))
        return Placement::Next;
    if (!this->arbiters.at(group))
        return Placement::None;
    if (this->arbiters.at(group) != this->self)
        return Placement::Relay;
    return this->isBaseMember ? Placement::Base : Placement::Next;
}

bool Transition::isInForceEverywhere() const
{
    return this->currentPhase == Phase::Stable
           && std::ranges::all_of(this->peers, [&](const auto &entry) {
                  return entry.second.inForce || entry.second.departed
                         || this->dead.contains(entry.first);
              });
}

void Transition::finish(TimePoint now, Outbox &out)
{
    if (this->base && this->target->id <= this->base->id)
        this->counters.add("invariant_plan_reverted");
    this->store.promote();
    this->base = this->target;
    this->currentPhase = Phase::Stable;
    this->completeGroups.set();
    this->ownReleased.clear();
    if (this->hooks.onInForce)
        this->hooks.onInForce(*this->base, std::exchange(this->released, {}));
    for (const auto &[id, peer] : this->peers)
        if (!this->dead.contains(id))
            out.push_back({id, InForce{this->base->id}});
    this->startQueued(now, out);
}

void Transition::startQueued(TimePoint now, Outbox &out)
{
    if (!this->queued || this->queued->id <= this->target->id)
        return;
    const Plan plan = *std::exchange(this->queued, std::nullopt);
    this->begin(plan, now, out);
}

void Transition::replayDeferred(TimePoint now, Outbox &out)
{
    std::deque<DeferredMessage> messages = std::exchange(this->deferred, {});
    for (const DeferredMessage &entry : messages) {
        if (const auto *digest = std::get_if<Digest>(&entry.message))
            this->onDigest(entry.from, *digest, now, out);
        else if (const auto *prepared = std::get_if<Prepared>(&entry.message))
            this->onPrepared(entry.from, *prepared, now, out);
        else if (const auto *message = std::get_if<Union>(&entry.message))
            this->onUnion(entry.from, *message, now, out);
        else
            this->onInForce(entry.from, std::get<InForce>(entry.message), now, out);
    }
}

void Transition::checkBarrier(TimePoint now, Outbox &out)
{
    if (this->currentPhase != Phase::Preparing)
        return;
    const bool all = this->hasAllPrepared(false) || this->options.skipBarrier;
    if (all) {
        Groups ready = this->ownGroups();
        if (!this->hasAllPrepared(true))
            ready &= ~this->takenOverGroups;
        this->publishUnions(ready & ~this->publishedGroups, out);
    }
    if (all && this->completeGroups.all())
        this->finish(now, out);
}

void Transition::publishUnions(const Groups &groups, Outbox &out)
{
    if (groups.none())
        return;
    // Lists all groups: a peer that had another plan in force also waits for groups without moved
    // buckets on this instance.
    for (const auto &[id, peer] : this->peers)
        if (!this->dead.contains(id))
            this->sendUnion(id, groups, out);
    this->publishedGroups |= groups;
    this->completeGroups |= groups;
}

void Transition::sendDigests(const Groups &groups, std::optional<InstanceId> to, Outbox &out) const
{
    std::map<InstanceId, Groups> shares;
    for (std::size_t group = 0; group < bucketGroupCount; ++group) {
        const auto receiver = to ? to : this->arbiters.at(group);
        if (groups.test(group) && receiver && receiver != this->self)
            shares[*receiver].set(group);
    }
    for (const auto &[receiver, share] : shares) {
        const auto send = [&, arbiter = receiver](std::vector<ServiceFlows> part, bool /*last*/) {
            if (!part.empty())
                out.push_back({arbiter, Digest{this->target->id, std::move(part)}});
        };
        internal::splitFlows(this->store.exceptions(share, true), this->options.recordsPerMessage,
                             send);
    }
}

void Transition::sendUnion(InstanceId to, const Groups &groups, Outbox &out) const
{
    if (groups.none())
        return;
    std::vector<std::uint8_t> numbers;
    for (std::size_t group = 0; group < bucketGroupCount; ++group)
        if (groups.test(group))
            numbers.push_back(static_cast<std::uint8_t>(group));
    // Members of the plan in force know the exceptions of buckets that do not move. Once the target
    // is in force, it is no longer known which buckets moved, so all exceptions are sent.
    const auto found = this->peers.find(to);
    const bool member
        = found != this->peers.end() && (found->second.wasMember || found->second.departed);
    const bool movedOnly = member && !this->planDiverged && this->currentPhase == Phase::Preparing;
    const auto send = [&](std::vector<ServiceFlows> part, bool last) {
        Union message{this->target->id, {}, std::move(part)};
        if (last)
            message.groups = numbers;
        out.push_back({to, std::move(message)});
    };
    internal::splitFlows(this->store.exceptions(groups, movedOnly), this->options.recordsPerMessage,
                         send);
}

void Transition::sendRepetition(InstanceId requester, Outbox &out) const
{
    if (this->currentPhase == Phase::Preparing)
        this->sendDigests(~this->completeGroups, requester, out);
    this->sendUnion(requester, this->completeGroups, out);
    out.push_back({requester, Prepared{this->target->id, {}}});
}

void Transition::requestRepetition(InstanceId instance, Outbox &out)
{
    ++this->peers[instance].repetitionsRequested;
    out.push_back({instance, Digest{this->target->id, {}}});
}

void Transition::checkTargetSkipped(InstanceId from, const PlanId &plan, TimePoint now, Outbox &out)
{
    const auto found = this->peers.find(from);
    if (this->currentPhase != Phase::Preparing || plan <= this->target->id
        || found == this->peers.end() || found->second.prepared > 0 || this->dead.contains(from))
        return;
    // The target cannot come into force anywhere without the sender, so no instance has placed
    // flows by it. Moving on from the plan in force to the next one is safe.
    this->targetSkipped = true;
    this->startQueued(now, out);
}

template <typename Message>
bool Transition::accept(InstanceId from, const Message &message)
{
    const PlanId &plan = internal::planOf(message);
    if (this->target && plan <= this->target->id)
        return plan == this->target->id;
    if (this->deferred.size() >= this->options.maxDeferredMessages) {
        this->counters.add("transition_message_dropped");
        this->deferred.pop_front();
    }
    this->deferred.push_back({from, message});
    return false;
}

bool Transition::isMember(const Plan &plan) const
{
    const PlanInstance *instance = plan.instance(this->self);
    return instance != nullptr && instance->bootId == this->bootId;
}

bool Transition::isAwaited(InstanceId id, const Peer &peer) const
{
    return !this->dead.contains(id) && !(peer.departed && this->ignoreDeparted);
}

bool Transition::hasAllPrepared(bool includeRepetitions) const
{
    return std::ranges::all_of(this->peers, [&](const auto &entry) {
        const auto &[id, peer] = entry;
        const std::size_t needed = 1 + (includeRepetitions ? peer.repetitionsRequested : 0);
        return !this->isAwaited(id, peer) || peer.prepared >= needed;
    });
}

Transition::Groups Transition::ownGroups() const
{
    Groups groups;
    for (std::size_t group = 0; group < bucketGroupCount; ++group)
        if (this->arbiters.at(group) == this->self)
            groups.set(group);
    return groups;
}

} // namespace bulrushgap
