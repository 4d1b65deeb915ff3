#include "engine/InstanceEngine.h"

#include <cassert>
#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::size_t maxEarlyMessages = 256;

bool isFromCaller(PacketKind kind)
{
    return kind == PacketKind::FlowData || kind == PacketKind::FlowClose
           || kind == PacketKind::Request || kind == PacketKind::Cancel;
}

/** \returns how often a packet has been relayed to an arbiter. */
std::uint8_t arbiterHops(const RelayHeader *header)
{
    return header != nullptr && header->kind == RelayKind::Arbiter ? header->hops : 0;
}

} // namespace internal

InstanceEngine::InstanceEngine(InstanceIdentity identity, const EngineSettings &settings,
                               const KeyedHash &hash, Random &random, Counters &counters,
                               PlanStoreHooks storeHooks)
    : identity(std::move(identity))
    , settings(settings)
    , hash(hash)
    , random(random)
    , counters(counters)
    , controlPath(this->identity, settings.control, this->hash, random, counters,
                  std::move(storeHooks), [this](const Plan &plan) { this->onNewestPlan(plan); })
    , relayFilter(this->identity.bootId, settings.relayIdRetention, counters)
{}

void InstanceEngine::onPacket(const Packet &packet, TimePoint now, Actions &actions)
{
    this->currentTime = now;
    this->handle(packet, nullptr, now, actions);
}

void InstanceEngine::onRelayedPacket(const RelayHeader &header, const Packet &packet, TimePoint now,
                                     Actions &actions)
{
    this->currentTime = now;
    if (this->relayFilter.admit(header, now))
        this->handle(packet, &header, now, actions);
}

void InstanceEngine::handle(const Packet &packet, const RelayHeader *header, TimePoint now,
                            Actions &actions)
{
    const auto *plan = this->planInForce();
    const bool listed
        = plan != nullptr && this->isListedInPlanInForce() && !this->controlPath.stale();
    if (plan == nullptr || (!listed && internal::isFromCaller(packet.kind)))
        this->relayToReadyPeer(packet, header, now, actions);
    else
        this->handleActive(packet, header, *plan, now, actions);
    this->flushOutbox(actions);
}

void InstanceEngine::handleActive(const Packet &packet, const RelayHeader *header, const Plan &plan,
                                  TimePoint now, Actions &actions)
{
    // A packet relayed by an instance without a plan is handled like one from the fabric.
    const auto *relay = header != nullptr && header->kind != RelayKind::NotReady ? header : nullptr;
    switch (packet.kind) {
    case PacketKind::FlowData:
    case PacketKind::FlowClose:
        this->active->flows.onCallerPacket(packet, plan, internal::arbiterHops(header), now,
                                           actions);
        return;
    case PacketKind::FeedItem:
        this->active->flows.onFeedItem(packet, plan, now, actions);
        return;
    case PacketKind::Request:
        this->active->requests.onRequest(packet, plan, relay, now, actions);
        return;
    case PacketKind::Cancel:
        this->active->requests.onCancel(packet, plan, relay, now, actions);
        return;
    case PacketKind::Answer:
    case PacketKind::Shed:
        if (relay != nullptr && relay->kind == RelayKind::Issuer)
            this->active->requests.onRelayedOutcome(packet, *relay, now, actions);
        else
            this->active->requests.onAnswer(packet, plan, relay, now, actions);
        return;
    }
}

void InstanceEngine::relayToReadyPeer(const Packet &packet, const RelayHeader *header,
                                      TimePoint now, Actions &actions)
{
    const auto &newest = this->controlPath.newestPlan();
    std::vector<const PlanInstance *> receivers;
    for (const auto &instance : newest.instances) {
        // After a pause, every peer appears silent, so liveness is ignored.
        if (instance.name != this->identity.name && !instance.leaving
            && (this->controlPath.stale() || this->controlPath.peers().isLive(instance.name, now)))
            receivers.push_back(&instance);
    }
    if (receivers.empty() || header != nullptr) {
        const auto reason
            = newest.id == PlanId{} ? RefusalReason::NoConfiguration : RefusalReason::NotReady;
        this->counters.refuse(reason);
        if (packet.kind == PacketKind::Request && packet.ticket.empty())
            actions.push_back(
                RefuseToCaller{.flow = packet.flow,
                               .message = {packet.message.begin(), packet.message.end()},
                               .verdict = Verdict::NotRun,
                               .reason = reason});
        return;
    }
    const auto &receiver = *receivers.at(this->random() % receivers.size());
    this->counters.add("relay_not_ready");
    actions.push_back(RelayPacket{.receiver = receiver.dataAddress,
                                  .header = {.kind = RelayKind::NotReady,
                                             .sender = this->identity.id.value_or(InstanceId{}),
                                             .senderBoot = this->identity.bootId,
                                             .receiverBoot = receiver.bootId,
                                             .hops = 1,
                                             .relayId = this->nextRelayId++},
                                  .flow = packet.flow,
                                  .towardsCaller = !internal::isFromCaller(packet.kind),
                                  .message = {packet.message.begin(), packet.message.end()}});
}

void InstanceEngine::onPeerUp(const Hello &hello, TimePoint now, Actions &actions)
{
    this->currentTime = now;
    this->controlPath.onHello(hello, now, actions);
    this->flushOutbox(actions);
}

void InstanceEngine::onPeerMessage(std::string_view peer, const PeerMessage &message, TimePoint now,
                                   Actions &actions)
{
    this->currentTime = now;
    this->controlPath.onMessage(peer, now);
    const auto id = this->controlPath.peers().idOf(peer);
    if (this->active && id)
        this->active->router.onInstanceAlive(*id);
    if (const auto *heartbeat = std::get_if<Heartbeat>(&message))
        this->onHeartbeat(peer, *heartbeat, now, actions);
    else if (const auto *push = std::get_if<PlanPush>(&message))
        this->controlPath.onPlanPush(push->plan, now, actions);
    else if (const auto *request = std::get_if<PlanRequest>(&message))
        this->controlPath.onPlanRequest(peer, *request, actions);
    else if (const auto *status = std::get_if<UpstreamStatus>(&message))
        this->controlPath.onUpstreamStatus(*status);
    else if (this->active && id)
        this->onTransitionMessage(*id, message, now);
    else
        this->queueEarlyMessage(peer, message);
    this->replayEarlyMessages(now);
    this->flushOutbox(actions);
}

void InstanceEngine::onHeartbeat(std::string_view peer, const Heartbeat &heartbeat, TimePoint now,
                                 Actions &actions)
{
    this->controlPath.onHeartbeat(peer, heartbeat, now, actions);
    const auto *instance = this->controlPath.newestPlan().instance(peer);
    if (!this->active || instance == nullptr)
        return;
    this->active->gate.onHeartbeat(instance->domain, heartbeat.inForce, now);
    this->active->admission.onPeerSlots(instance->id, heartbeat.freeSlots, now);
    this->sendReleasedCounts(peer, heartbeat, actions);
}

void InstanceEngine::sendReleasedCounts(std::string_view peer, const Heartbeat &heartbeat,
                                        Actions &actions)
{
    const auto *plan = this->planInForce();
    if (plan == nullptr || heartbeat.inForce != plan->id)
        return;
    auto counts = this->active->admission.relinquishedInFlight();
    if (!counts.empty())
        actions.push_back(SendToPeer{std::string(peer), Prepared{plan->id, std::move(counts)}});
}

void InstanceEngine::onPrepared(InstanceId from, const Prepared &prepared, TimePoint now)
{
    // A repeated Prepared for the plan in force carries the current counts of the former owner.
    const auto *plan = this->planInForce();
    if (plan != nullptr && plan->id == prepared.plan)
        this->active->admission.lowerHandoverCounts(prepared.inFlight);
    this->active->router.onPrepared(from, prepared, now, this->outbox);
}

void InstanceEngine::onTransitionMessage(InstanceId from, const PeerMessage &message, TimePoint now)
{
    auto &router = this->active->router;
    if (const auto *digest = std::get_if<Digest>(&message))
        router.onDigest(from, *digest, now, this->outbox);
    else if (const auto *prepared = std::get_if<Prepared>(&message))
        this->onPrepared(from, *prepared, now);
    else if (const auto *unionMessage = std::get_if<Union>(&message))
        router.onUnion(from, *unionMessage, now, this->outbox);
    else if (const auto *inForce = std::get_if<InForce>(&message))
        router.onInForce(from, *inForce, now, this->outbox);
    else if (const auto *snapshot = std::get_if<Snapshot>(&message))
        router.loadSnapshot(*snapshot, now, this->outbox);
}

void InstanceEngine::onPlanWritten(std::uint64_t writeId, const WriteResult &result, TimePoint now,
                                   Actions &actions)
{
    this->currentTime = now;
    this->controlPath.onWriteResult(writeId, result, now, actions);
    this->replayEarlyMessages(now);
    this->flushOutbox(actions);
}

void InstanceEngine::onPlanRead(const ReadResult &result, TimePoint now, Actions &actions)
{
    this->currentTime = now;
    this->controlPath.onReadResult(result, now, actions);
    this->replayEarlyMessages(now);
    this->flushOutbox(actions);
}

void InstanceEngine::onNewestPlan(const Plan &plan)
{
    const auto *own = plan.instance(this->identity.name);
    if (own != nullptr && own->bootId == this->identity.bootId)
        this->activate(*own);
    if (!this->active)
        return;
    // An id may be reused by a plan that adds a new boot. Messages of that boot could not be
    // attributed to the id before, so the transition still counts it as dead.
    for (const auto &instance : plan.instances) {
        if (this->controlPath.peers().isLive(instance.name, this->currentTime))
            this->active->router.onInstanceAlive(instance.id);
    }
    this->active->router.onPlan(plan, this->currentTime, this->outbox);
}

void InstanceEngine::activate(const PlanInstance &own)
{
    if (this->active && this->identity.id == own.id)
        return;
    // Records and dispatches of a former id can no longer be addressed under a new one.
    this->identity.id = own.id;
    ActiveInstanceSettings activeSettings = this->settings.active;
    if (this->controlPath.scopeIsNew(this->currentTime))
        activeSettings.admission.assumeBusyAtStart = false;
    this->active = std::make_unique<ActiveInstance>(
        this->identity, own.domain, activeSettings, this->hash, this->random, this->counters,
        [this](InstanceId id) { return this->liveBoot(id); }, this->currentTime);
    if (this->stopping)
        this->active->requests.beginStop();
}

std::optional<std::uint64_t> InstanceEngine::liveBoot(InstanceId id) const
{
    const auto *peer = this->controlPath.peers().find(id);
    if (peer == nullptr || !this->controlPath.peers().isLive(id, this->currentTime))
        return std::nullopt;
    return peer->hello.bootId;
}

void InstanceEngine::tick(TimePoint now, Actions &actions)
{
    this->currentTime = now;
    const auto deaths = this->controlPath.tick(now, actions);
    if (this->active) {
        for (const auto &name : deaths) {
            if (const auto id = this->controlPath.peers().idOf(name))
                this->active->router.onInstanceDead(*id, now, this->outbox);
        }
        this->active->router.tick(now, this->outbox);
        if (const auto *plan = this->planInForce())
            this->active->requests.tick(*plan, now, actions);
        this->reportHealth(now, actions);
    }
    this->relayFilter.tick(now);
    if (this->controlPath.pollHeartbeatTimer(now))
        this->sendHeartbeats(now, actions);
    this->flushOutbox(actions);
}

void InstanceEngine::sendHeartbeats(TimePoint now, Actions &actions)
{
    const auto *plan = this->planInForce();
    const auto message = this->controlPath.heartbeat(
        plan != nullptr ? plan->id : PlanId{},
        this->active ? this->active->admission.freeSlots() : std::vector<FreeSlots>{});
    for (const auto &peer : this->controlPath.peers().livePeers(now))
        actions.push_back(SendToPeer{.peer = peer.name, .message = message});
}

void InstanceEngine::reportHealth(TimePoint now, Actions &actions)
{
    const auto changes = this->active->admission.takeStatusChanges();
    if (changes.empty())
        return;
    const auto planner = this->controlPath.plannerName(now);
    for (const auto &status : changes) {
        if (planner == this->identity.name)
            this->controlPath.onUpstreamStatus(status);
        else if (planner)
            actions.push_back(SendToPeer{.peer = *planner, .message = status});
    }
}

void InstanceEngine::queueEarlyMessage(std::string_view peer, const PeerMessage &message)
{
    if (std::holds_alternative<Hello>(message))
        return;
    if (this->earlyMessages.size() >= internal::maxEarlyMessages) {
        this->counters.add("early_message_dropped");
        this->earlyMessages.pop_front();
    }
    this->earlyMessages.emplace_back(peer, message);
}

void InstanceEngine::replayEarlyMessages(TimePoint now)
{
    if (!this->active || this->earlyMessages.empty())
        return;
    std::erase_if(this->earlyMessages, [&](const auto &entry) {
        const auto id = this->controlPath.peers().idOf(entry.first);
        if (id)
            this->onTransitionMessage(*id, entry.second, now);
        return id.has_value();
    });
}

void InstanceEngine::flushOutbox(Actions &actions)
{
    for (auto &outbound : this->outbox) {
        const auto name = this->controlPath.peers().nameOf(outbound.to);
        if (name.empty())
            this->counters.add("outbound_unknown_instance");
        else
            actions.push_back(
                SendToPeer{.peer = std::string(name), .message = std::move(outbound.message)});
    }
    this->outbox.clear();
}

void InstanceEngine::beginStop(TimePoint now)
{
    this->currentTime = now;
    this->stopping = true;
    this->controlPath.beginStop();
    if (this->active)
        this->active->requests.beginStop();
}

bool InstanceEngine::stopped(TimePoint now) const
{
    if (!this->stopping)
        return false;
    if (!this->active)
        return true;
    const auto *plan = this->planInForce();
    const auto *own = plan != nullptr ? plan->instance(this->identity.name) : nullptr;
    const bool released
        = own == nullptr || own->leaving || this->controlPath.peers().livePeers(now).empty();
    return released && this->active->requests.drained(now);
}

bool InstanceEngine::ready() const
{
    return this->planInForce() != nullptr && this->isListedInPlanInForce()
           && !this->controlPath.stale();
}

EngineStatus InstanceEngine::status(TimePoint now) const
{
    EngineStatus status;
    const auto *plan = this->planInForce();
    if (plan != nullptr) {
        status.inForce = plan->id;
        status.configVersion = plan->configVersion;
    }
    status.newest = this->controlPath.newestPlan().id;
    status.newestConfigVersion = this->controlPath.newestPlan().configVersion;
    status.planner = this->controlPath.plannerName(now).value_or("");
    status.ready = this->ready();
    status.stale = this->controlPath.stale();
    if (this->active) {
        status.flows = this->active->router.flowCount();
        status.heldRequests = this->active->requests.heldRequests();
    }
    status.instances
        = this->controlPath.peers().convergence(status.newest, this->identity.name, now);
    return status;
}

Hello InstanceEngine::hello() const
{
    return {.protocolVersion = peerProtocolVersion,
            .deployment = this->identity.deployment,
            .scope = this->identity.scope,
            .instance = this->identity.name,
            .domain = this->identity.domain,
            .bootId = this->identity.bootId,
            .peerAddress = this->identity.peerAddress.toString(),
            .dataAddress = this->identity.dataAddress.toString()};
}

const Plan *InstanceEngine::planInForce() const
{
    return this->active ? this->active->router.currentPlan() : nullptr;
}

bool InstanceEngine::isListedInPlanInForce() const
{
    const auto *plan = this->planInForce();
    const auto *own = plan != nullptr ? plan->instance(this->identity.name) : nullptr;
    return own != nullptr && own->bootId == this->identity.bootId;
}

} // namespace bulrushgap
