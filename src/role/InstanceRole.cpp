#include "role/InstanceRole.h"

#include "peer/RelayCodec.h"
#include "role/ObjectValidation.h"

#include <boost/leaf/result.hpp>

#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::chrono::milliseconds tickInterval{20};

TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::uint64_t randomUint64()
{
    std::random_device device;
    return (std::uint64_t{device()} << 32) | device();
}

InstanceIdentity makeIdentity(const InstanceSettings &settings)
{
    return {.deployment = settings.deployment,
            .scope = settings.scope,
            .name = settings.name,
            .domain = settings.domain,
            .bootId = randomUint64(),
            .peerAddress = settings.peerAddress,
            .dataAddress = settings.dataAddress,
            .id = std::nullopt};
}

EngineSettings engineSettings(const InstanceSettings &settings)
{
    EngineSettings engine;
    engine.active.flow.store.capacity = settings.limits.flowTableCapacity;
    engine.active.flow.store.idleTimeout = settings.timers.flowIdleTimeout;
    engine.active.flow.transition.limit = settings.timers.transitionLimit;
    engine.active.admission.queuePerService = settings.limits.queuePerService;
    engine.active.silenceTimeout = settings.timers.silenceTimeout;
    engine.active.ticket.key = settings.ticketKey;
    engine.active.ticket.validity = engine.active.request.ticketValidity;
    engine.control.heartbeat = settings.timers.heartbeat;
    engine.control.peerTimeout = settings.timers.peerTimeout;
    engine.control.planningGrace = 2 * settings.timers.peerTimeout;
    engine.control.tick = std::chrono::duration_cast<Duration>(tickInterval);
    return engine;
}

InstanceObject makeInstanceObject(const InstanceIdentity &identity)
{
    InstanceObject object;
    object.name = identity.name;
    object.domain = identity.domain;
    object.peerAddress = identity.peerAddress;
    object.dataAddress = identity.dataAddress;
    object.bootId = identity.bootId;
    return object;
}

} // namespace internal

InstanceRole::InstanceRole(boost::asio::io_context &context, InstanceSettings loadedSettings)
    : context(context)
    , settings(std::move(loadedSettings))
    , log("instance")
    , random(internal::randomUint64())
    , metrics(this->counters)
    , transitionTime(this->metrics.addHistogram("transition_time"))
    , platform(context, this->settings.platform, this->counters)
    , planStore(
          this->platform, this->settings.scope,
          [this](std::uint64_t writeId, const WriteResult &result) {
              this->callEngine([&](TimePoint now) {
                  this->engine.onPlanWritten(writeId, result, now, this->actions);
              });
          },
          [this](const ReadResult &result) {
              this->callEngine(
                  [&](TimePoint now) { this->engine.onPlanRead(result, now, this->actions); });
          })
    , engine(internal::makeIdentity(this->settings), internal::engineSettings(this->settings),
             KeyedHash(this->settings.hashKey), this->random, this->counters,
             this->planStore.hooks())
    , dataSocket(context, this->settings.dataAddress, this->counters,
                 [this](std::span<const std::byte> datagram) { this->onDatagram(datagram); })
    , mesh(context, this->meshSettings(), this->counters, this->random, this->meshHooks())
    , actionRunner(this->dataSocket, this->mesh, this->codec, this->settings.fabricEgress,
                   this->counters)
    , objectFeed(context, this->platform, this->random, this->engine.control().objects(),
                 [this](bool reachable) { this->engine.control().setPlatformReachable(reachable); })
    , registration(context, this->platform, internal::makeInstanceObject(this->engine.self()))
    , adminServer(context, this->settings.adminAddress)
    , adminApi(this->adminServer, this->platform, this->adminHooks())
    , tickTimer(context)
{
    this->addGauges();
}

boost::leaf::result<void> InstanceRole::start()
{
    BOOST_LEAF_AUTO(endpoint, this->adminServer.start());
    this->log.info("instance_started", {{"name", this->settings.name},
                                        {"domain", this->settings.domain},
                                        {"data", this->settings.dataAddress.toString()},
                                        {"admin", endpoint.toString()}});
    this->registration.start();
    this->scheduleTick();
    return {};
}

template <typename Function>
void InstanceRole::callEngine(Function &&function)
{
    function(internal::monotonicNow());
    // Executing an action may call the engine again and add actions, so the list is moved out
    // first.
    const auto pending = std::exchange(this->actions, {});
    this->actionRunner.run(pending);
}

void InstanceRole::scheduleTick()
{
    this->tickTimer.expires_after(internal::tickInterval);
    this->tickTimer.async_wait([this](boost::system::error_code error) {
        if (error)
            return;
        this->onTick();
        this->scheduleTick();
    });
}

void InstanceRole::onTick()
{
    this->callEngine([this](TimePoint now) { this->engine.tick(now, this->actions); });
    const auto now = internal::monotonicNow();
    this->objectFeed.setActive(this->engine.control().needsObjects(now));
    this->onPlanProgress();
    this->checkStopProgress(now);
}

void InstanceRole::onPlanProgress()
{
    const auto now = internal::monotonicNow();
    const auto &newest = this->engine.control().newestPlan();
    if (newest.id != this->connectedPlan) {
        this->connectedPlan = newest.id;
        std::vector<Endpoint> peers;
        for (const auto &instance : newest.instances) {
            if (instance.name != this->settings.name)
                peers.push_back(instance.peerAddress);
        }
        this->mesh.setPeers(peers);
        this->transitionStart = now;
    }
    const auto *inForce = this->engine.planInForce();
    if (inForce == nullptr || inForce->id == this->lastLoggedPlan)
        return;
    this->lastLoggedPlan = inForce->id;
    const auto duration = now - this->transitionStart.value_or(now);
    this->transitionTime.record(duration);
    this->log.info("plan_in_force", {{"plan", inForce->id.toString()},
                                     {"config", inForce->configVersion},
                                     {"instances", inForce->instances.size()},
                                     {"took_ms", duration.count() / 1000}});
}

void InstanceRole::onDatagram(std::span<const std::byte> datagram)
{
    if (RelayCodec::isRelay(datagram)) {
        this->onRelay(datagram);
        return;
    }
    const auto packet = this->codec.decode(datagram);
    if (!packet) {
        this->counters.refuse(RefusalReason::MalformedPacket);
        return;
    }
    this->callEngine([&](TimePoint now) { this->engine.onPacket(*packet, now, this->actions); });
}

void InstanceRole::onRelay(std::span<const std::byte> datagram)
{
    const auto relayed = RelayCodec::decode(datagram);
    const auto packet = relayed ? this->codec.decode(relayed->payload) : std::nullopt;
    if (!packet) {
        this->counters.refuse(RefusalReason::MalformedPacket);
        return;
    }
    this->callEngine([&](TimePoint now) {
        this->engine.onRelayedPacket(relayed->header, *packet, now, this->actions);
    });
}

void InstanceRole::beginStop()
{
    if (this->stopDeadline)
        return;
    const auto now = internal::monotonicNow();
    this->stopDeadline = now + this->settings.timers.stopLimit;
    this->log.info("stop_begun", {{"limit_ms", this->settings.timers.stopLimit.count() / 1000},
                                  {"held_requests", this->engine.status(now).heldRequests}});
    this->registration.setLeaving();
    this->engine.beginStop(now);
}

void InstanceRole::checkStopProgress(TimePoint now)
{
    if (!this->stopDeadline || this->deregistering)
        return;
    const bool drained = this->engine.stopped(now);
    if (!drained && now < *this->stopDeadline)
        return;
    this->deregistering = true;
    this->log.info("stop_ended", {{"drained", drained ? "true" : "false"},
                                  {"held_requests", this->engine.status(now).heldRequests}});
    this->registration.remove([this] { this->context.stop(); });
}

PeerMeshSettings InstanceRole::meshSettings() const
{
    PeerMeshSettings mesh;
    mesh.listen = this->settings.peerAddress;
    mesh.self = this->engine.hello();
    mesh.seeds = this->settings.seeds;
    mesh.bytesPerSecond = this->settings.limits.controlBytesPerSecond;
    return mesh;
}

PeerMeshHooks InstanceRole::meshHooks()
{
    return {
        .onPeerUp =
            [this](const Hello &hello) {
                this->log.info("peer_up", {{"peer", hello.instance}, {"domain", hello.domain}});
                this->callEngine(
                    [&](TimePoint now) { this->engine.onPeerUp(hello, now, this->actions); });
            },
        .onPeerDown =
            [this](std::string_view name) {
                this->log.info("peer_down", {{"peer", name}});
            },
        .onMessage =
            [this](std::string_view name, const PeerMessage &message) {
                this->callEngine([&](TimePoint now) {
                    this->engine.onPeerMessage(name, message, now, this->actions);
                });
            },
        .acceptHello
        = [this](const Hello &hello) { return this->engine.control().acceptsHello(hello); },
    };
}

SystemStatus InstanceRole::systemStatus() const
{
    const auto now = internal::monotonicNow();
    const auto status = this->engine.status(now);
    SystemStatus system;
    system.newest = status.newest;
    system.configVersion = status.newestConfigVersion;
    system.instances.push_back({.name = this->settings.name,
                                .alive = true,
                                .inForce = status.inForce,
                                .newest = status.newest,
                                .configVersion = status.configVersion,
                                .reason = status.inForce == status.newest ? "" : "preparing"});
    for (const auto &other : status.instances) {
        const bool current = other.progress == PlanProgress::InForce;
        system.instances.push_back(
            {.name = other.instance,
             .alive
             = other.progress != PlanProgress::Silent && other.progress != PlanProgress::Unknown,
             .inForce = other.inForce,
             .newest = other.inForce,
             .configVersion = current ? status.newestConfigVersion : 0,
             .reason = current ? "" : std::string(toString(other.progress))});
    }
    return system;
}

AdminHooks InstanceRole::adminHooks()
{
    return {.validate = validateObject,
            .status = [this] { return this->systemStatus(); },
            .metrics = [this] { return this->metrics.render(); },
            .ready =
                [this] {
                    return this->engine.ready();
                }};
}

void InstanceRole::addGauges()
{
    const auto status = [this] {
        return this->engine.status(internal::monotonicNow());
    };
    this->metrics.addGauge("flows", [status] { return static_cast<double>(status().flows); });
    this->metrics.addGauge("held_requests",
                           [status] { return static_cast<double>(status().heldRequests); });
    this->metrics.addGauge("ready", [status] { return status().ready ? 1.0 : 0.0; });
    this->metrics.addGauge("config_version_in_force",
                           [status] { return static_cast<double>(status().configVersion); });
}

} // namespace bulrushgap
