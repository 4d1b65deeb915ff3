#include "simulation/SimulatedInstance.h"

#include "platform/PacketCodec.h"
#include "simulation/RemoteCall.h"
#include "view/ReplyCompression.h"
#include "view/ViewCodec.h"

#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr Duration simulatedProbeTimeout = std::chrono::milliseconds(110);
constexpr std::chrono::milliseconds peerListWait{400};
constexpr Duration peerWatchMargin = std::chrono::milliseconds(300);
constexpr Duration simulatedStopDelay = std::chrono::milliseconds(1'500);
constexpr std::size_t simulatedFlowCapacity = 100'000;

/** Datagrams that fit into the socket of a process that does not read. */
constexpr std::size_t socketCapacity = 400;

/** \brief Another instance as this one reads it; messages pass through the real codec. */
class SimulatedPeer : public balance::ObjectSource
{
public:
    using Find = std::function<SimulatedInstance *()>;

    SimulatedPeer(Surroundings &surroundings, CallEnds ends, const balance::ViewSource &source,
                  Counters &counters, Find find)
        : surroundings(surroundings)
        , ends(std::move(ends))
        , direct(source.direct)
        , listWait(source.mayWait ? peerListWait : std::chrono::milliseconds(0))
        , counters(counters)
        , find(std::move(find))
    {}

    void list(ViewKind kind, ListHandler handler) override
    {
        this->counters.add("peer_list");
        const balance::ViewRequest request{kind, std::nullopt, this->listWait, this->direct};
        RemoteCall<ViewList>::send(
            this->surroundings, this->ends, {AnswerArrivals::idleTimeout, this->arrivals},
            this->alive, std::move(handler), [find = this->find, request](auto respond) {
                onPeer(find, [request, respond](balance::ObjectMirror &mirror) {
                    mirror.list(request, [&mirror, kind = request.kind, respond](const auto &list) {
                        const Bytes message = passedOn(balance::encodeList(kind, *list));
                        ViewList reply = balance::decodeList(kind, message).value_or(ViewList{});
                        reply.freshness = mirror.freshness();
                        respond(std::move(reply), message.size());
                    });
                });
            });
    }

    void watchFor(ViewKind kind, StoreRevision since, std::chrono::milliseconds wait,
                  WatchHandler handler) override
    {
        this->counters.add("peer_watch");
        const balance::ViewRequest request{kind, since, wait, this->direct};
        RemoteCall<ViewEvents>::send(
            this->surroundings, this->ends, {wait + peerWatchMargin, this->arrivals},
            this->watchesAlive, std::move(handler), [find = this->find, request](auto respond) {
                onPeer(find, [request, respond](balance::ObjectMirror &mirror) {
                    mirror.watch(
                        request, [&mirror, kind = request.kind, respond](const auto &events) {
                            const Bytes message = passedOn(balance::encodeEvents(kind, *events));
                            ViewEvents reply
                                = balance::decodeEvents(kind, message).value_or(ViewEvents{});
                            reply.freshness = mirror.freshness();
                            respond(std::move(reply), message.size());
                        });
                });
            });
    }

    void dropWatches() override
    {
        this->watchesAlive = std::make_shared<bool>(true);
        this->arrivals = connectionArrivals();
    }

    [[nodiscard]] std::optional<TimePoint> lastArrival() const override
    {
        return this->arrivals->count > 0 ? std::optional(this->surroundings.loop.now())
                                         : std::nullopt;
    }

private:
    static std::shared_ptr<AnswerArrivals> connectionArrivals()
    {
        return std::make_shared<AnswerArrivals>(AnswerArrivals{0, true});
    }

    /** \returns the message that is sent for a reply. */
    static Bytes passedOn(Bytes reply) { return balance::compressReply(reply).value_or(reply); }

    /** \brief Runs \a task in the other process; without one, nobody answers. */
    static void onPeer(const Find &find, const std::function<void(balance::ObjectMirror &)> &task)
    {
        SimulatedInstance *peer = find();
        if (peer == nullptr || !peer->isRunning())
            return;
        peer->post([find, task] {
            SimulatedInstance *running = find();
            if (running != nullptr && running->mirror() != nullptr)
                task(*running->mirror());
        });
    }

    Surroundings &surroundings;
    CallEnds ends;
    bool direct;
    std::chrono::milliseconds listWait;
    Counters &counters;
    Find find;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::shared_ptr<bool> watchesAlive = std::make_shared<bool>(true);
    std::shared_ptr<AnswerArrivals> arrivals = connectionArrivals();
};

} // namespace internal

/** \brief What a process has in memory. */
struct SimulatedInstance::Process
{
    Process(SimulatedInstance &instance, const balance::BalancerOptions &options)
        : random(instance.surroundings.random())
        , scheduler(instance.processScheduler())
        , log(logOptions(instance))
        , store(
              instance.surroundings, instance.place(),
              [&instance](std::function<void()> task) { instance.post(std::move(task)); },
              this->counters)
        , balancer(options, this->scheduler, this->store, this->store, this->random, this->counters,
                   this->log, instance.balancerHooks())
    {}

    static LogOptions logOptions(SimulatedInstance &instance)
    {
        constexpr unsigned linesPerSecond = 10'000;
        LogOptions options;
        options.linesPerSecond = linesPerSecond;
        options.clock = [&instance] {
            return instance.surroundings.loop.now();
        };
        options.sink = [&instance](LogLevel, const std::string &line) {
            if (instance.hooks.onLogLine)
                instance.hooks.onLogLine(instance.self.name, line);
        };
        return options;
    }

    Random random;
    Scheduler scheduler;
    Counters counters;
    Log log;
    SimulatedStore store;
    balance::Balancer balancer;
};

SimulatedInstance::SimulatedInstance(Surroundings &surroundings, balance::Member member,
                                     std::vector<Endpoint> seeds, SimulatedInstanceHooks hooks)
    : surroundings(surroundings)
    , self(std::move(member))
    , seeds(std::move(seeds))
    , hooks(std::move(hooks))
{}

SimulatedInstance::~SimulatedInstance() = default;

void SimulatedInstance::start(bool firstStart)
{
    this->kill();
    this->process = std::make_unique<Process>(
        *this, balance::BalancerOptions{this->self, internal::simulatedFlowCapacity,
                                        internal::simulatedStopDelay, firstStart, this->seeds});
    this->process->balancer.start();
}

void SimulatedInstance::kill()
{
    ++this->processNumber;
    this->reading = false;
    this->socket.clear();
    this->frozenUntil.reset();
    this->process.reset();
}

void SimulatedInstance::stop()
{
    if (this->process)
        this->process->balancer.beginStop();
}

void SimulatedInstance::freeze(Duration duration)
{
    this->frozenUntil = this->surroundings.loop.now() + duration;
}

bool SimulatedInstance::isFrozen() const
{
    return this->frozenUntil && this->surroundings.loop.now() < *this->frozenUntil;
}

bool SimulatedInstance::isReady() const
{
    return this->process && !this->isFrozen() && this->process->balancer.isReady();
}

balance::ObjectMirror *SimulatedInstance::mirror()
{
    return this->process ? &this->process->balancer.objectMirror() : nullptr;
}

std::size_t SimulatedInstance::usableUpstreams(std::string_view service) const
{
    return this->process ? this->process->balancer.usableUpstreams(service) : 0;
}

std::uint64_t SimulatedInstance::counter(std::string_view name) const
{
    return this->process ? this->process->counters.value(name) : 0;
}

void SimulatedInstance::post(std::function<void()> task)
{
    if (!this->isFrozen()) {
        task();
        return;
    }
    const Duration left = *this->frozenUntil - this->surroundings.loop.now();
    this->surroundings.loop.after(
        left, [this, number = this->processNumber, task = std::move(task)]() mutable {
            if (number == this->processNumber)
                this->post(std::move(task));
        });
}

Scheduler SimulatedInstance::processScheduler()
{
    const Scheduler &real = this->surroundings.scheduler;
    return {[&real] { return real.now(); },
            [this, &real](Duration delay, Scheduler::Handler handler) -> Scheduler::Timer {
                const auto pending = std::make_shared<Scheduler::Handler>(std::move(handler));
                const auto due = [this, weak = std::weak_ptr(pending)] {
                    this->post([weak] {
                        if (const auto task = weak.lock())
                            (*task)();
                    });
                };
                this->surroundings.loop.after(delay, [this, due, number = this->processNumber] {
                    if (number == this->processNumber)
                        due();
                });
                return pending;
            }};
}

balance::BalancerHooks SimulatedInstance::balancerHooks()
{
    balance::BalancerHooks result;
    result.probe = [this](Endpoint address, balance::BalancerHooks::ProbeHandler handler) {
        const auto finish = [this, number = this->processNumber, handler = std::move(handler),
                             done = std::make_shared<bool>(false)](balance::ProbeResult outcome) {
            if (number == this->processNumber && !std::exchange(*done, true))
                this->post([handler, outcome] { handler(outcome); });
        };
        this->surroundings.loop.after(internal::simulatedProbeTimeout,
                                      [finish] { finish(balance::ProbeResult::TimedOut); });
        this->hooks.connect(this->place(), address, finish);
    };
    result.resetCaller = [this](const balance::FlowPacket &flow) {
        const platform::ResetBytes bytes = platform::encodeReset(flow);
        this->hooks.toCaller(*this, {bytes.begin(), bytes.end()});
    };
    result.connectPeer
        = [this](const balance::ViewSource &source) -> std::unique_ptr<balance::ObjectSource> {
        const Endpoint peer = source.peer.value();
        const SimulatedInstance *target = this->hooks.findPeer(peer);
        const Place to = target == nullptr ? Place{Place::Role::Instance, "nowhere", "nobody"}
                                           : target->place();
        return std::make_unique<internal::SimulatedPeer>(
            this->surroundings,
            CallEnds{this->place(), to,
                     [this](std::function<void()> task) {
                         this->post(std::move(task));
                     }},
            source, this->process->counters, [this, peer] { return this->hooks.findPeer(peer); });
    };
    result.onReady = [this](bool late) {
        this->reading = true;
        if (late)
            this->socket.clear();
        for (const WaitingPacket &packet : std::exchange(this->socket, {}))
            this->decide(packet);
    };
    result.onStopped = [this] {
        // The process ends after the call that stops it.
        this->surroundings.loop.after(Duration::zero(), [this, number = this->processNumber] {
            if (number == this->processNumber)
                this->kill();
        });
    };
    return result;
}

void SimulatedInstance::onPacket(Bytes packet, TimePoint sentAt)
{
    if (!this->process)
        return;
    WaitingPacket waiting{std::move(packet), sentAt};
    if (this->reading && !this->isFrozen()) {
        this->decide(waiting);
        return;
    }
    if (this->socket.size() >= internal::socketCapacity)
        return;
    this->socket.push_back(std::move(waiting));
    if (this->reading && this->socket.size() == 1)
        this->post([this] {
            for (const WaitingPacket &each : std::exchange(this->socket, {}))
                this->decide(each);
        });
}

void SimulatedInstance::decide(const WaitingPacket &packet)
{
    const auto header = platform::decodePacket(packet.bytes);
    if (!header)
        return;
    balance::Balancer &balancer = this->process->balancer;
    const balance::SteeringDecision decision
        = balancer.decide(*header, packet.bytes, this->surroundings.loop.now());
    this->hooks.onDecision(*this, *header, decision);
    if (decision.action == balance::SteeringDecision::Action::Reset) {
        const platform::ResetBytes bytes = platform::encodeReset(*header);
        this->hooks.toCaller(*this, {bytes.begin(), bytes.end()});
    } else if (decision.action == balance::SteeringDecision::Action::Forward) {
        const balance::Upstream &upstream = balancer.upstream(decision.upstream);
        Bytes datagram(platform::upstreamIdBytes);
        platform::writeUpstreamId(std::span(datagram).first<platform::upstreamIdBytes>(),
                                  upstream.entry.wireId);
        datagram.insert(datagram.end(), packet.bytes.begin(), packet.bytes.end());
        if (decision.writeTag)
            platform::writeFlowTag(std::span(datagram).subspan(platform::upstreamIdBytes),
                                   upstream.flowTag);
        this->hooks.toUpstream(*this, upstream.entry.address, std::move(datagram), packet.sentAt);
    }
    balancer.scheduleTick();
}

} // namespace bulrushgap::simulation
