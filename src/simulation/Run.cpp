#include "simulation/Run.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr std::uint32_t instanceNetwork = 0x0a00'0001;
constexpr std::uint16_t instancePort = 9'000;
/** What an instance tells of a link without a limit, in Mbit/s. */
constexpr std::uint32_t unlimitedLinkRate = 80;
constexpr Duration afterTraffic = std::chrono::seconds(4); //!< For the last answers.
constexpr double recoveredShare = 0.25;
constexpr std::int64_t recoveryWindow = 5; //!< In seconds.
constexpr std::size_t maxSeeds = 3;

Endpoint peerAddress(std::size_t instance)
{
    return {instanceNetwork + static_cast<std::uint32_t>(instance), instancePort};
}

} // namespace internal

Run::Run(RunSettings settings, std::vector<PlannedFault> faults, std::uint64_t seed, RunHooks hooks)
    : settings(std::move(settings))
    , faults(std::move(faults))
    , hooks(std::move(hooks))
    , surroundings(seed, this->settings.delays, this->settings.storeHistory)
    , fleet(this->surroundings, this->settings,
            [this](std::size_t number) { return this->upstreamHooks(number); })
    , checks(this->settings, this->fleet,
             [this](Promise promise, const std::string &what) { this->onBroken(promise, what); })
    , operators(this->surroundings, this->settings, this->checks)
    , fabric(this->surroundings.scheduler, this->settings.steadyHash, [this](std::size_t index) {
        const SimulatedInstance &instance = *this->instances.at(index);
        return instance.isReady() && !this->surroundings.links.isDark(instance.member().name);
    })
{
    this->trafficStart = this->surroundings.loop.now() + this->settings.lead;
    this->addInstances();
    this->addCallers();
}

std::vector<Endpoint> Run::seeds() const
{
    std::vector<Endpoint> result;
    const std::size_t count = std::min(this->settings.domains.size(), internal::maxSeeds);
    for (std::size_t domain = 1; domain <= count; ++domain)
        result.push_back(internal::peerAddress(domain * this->settings.instancesPerDomain - 1));
    return result;
}

void Run::addInstances()
{
    const std::vector<LinkCapacity> links = this->settings.linksOfDomain();
    const std::vector<Endpoint> known = this->seeds();
    for (const std::string &domain : this->settings.domains) {
        for (unsigned number = 1; number <= this->settings.instancesPerDomain; ++number) {
            const std::size_t index = this->instances.size();
            const std::string name = domain + '-' + std::to_string(number);
            const LinkCapacity &link = links.at(number - 1);
            if (link.mbps > 0)
                this->surroundings.transport.limit(name, link);
            this->instances.push_back(std::make_unique<SimulatedInstance>(
                this->surroundings,
                balance::Member{name, domain, internal::peerAddress(index),
                                link.mbps > 0 ? link.mbps : internal::unlimitedLinkRate},
                known, this->instanceHooks()));
            this->fabric.add(index, domain);
        }
    }
}

void Run::addUpstreams()
{
    for (const ServiceSettings &service : this->settings.services) {
        for (const std::string &domain : this->settings.domains) {
            for (unsigned number = 0; number < service.upstreamsPerDomain; ++number)
                (void)this->fleet.add(service.name, domain, false);
        }
    }
}

void Run::addCallers()
{
    unsigned number = 0;
    for (const std::string &domain : this->settings.domains)
        this->populations.push_back(std::make_unique<CallerPopulation>(
            this->surroundings, this->settings, number++, this->callerHooks(domain)));
}

RunReport Run::play()
{
    this->operators.start();
    this->addUpstreams();
    this->fleet.startRegistry();
    for (const auto &instance : this->instances)
        instance->start(true);
    this->fabric.start();
    this->surroundings.loop.runFor(this->settings.lead);

    FaultInjector injector(
        this->surroundings, this->settings,
        {this->instances, this->populations, this->fleet, this->operators, this->checks});
    for (const PlannedFault &fault : this->faults)
        this->surroundings.loop.after(fault.at, [&injector, &fault] { injector.apply(fault); });
    for (const auto &population : this->populations)
        population->start();
    this->surroundings.loop.runFor(this->settings.length);
    for (const auto &population : this->populations)
        population->stop();
    this->surroundings.loop.runFor(internal::afterTraffic);

    this->checkRecovery();
    this->addLoads();
    const Duration passage = this->surroundings.transport.longestPassage();
    if (passage > Duration::zero())
        this->report.addCounter("longest_passage_ms",
                                static_cast<std::uint64_t>(toMilliseconds(passage)));
    return std::move(this->report);
}

SimulatedInstanceHooks Run::instanceHooks()
{
    SimulatedInstanceHooks result;
    result.findPeer = [this](Endpoint peer) {
        return this->instanceAt(peer);
    };
    result.toUpstream = [this](const SimulatedInstance &from, Endpoint address, Bytes datagram,
                               TimePoint sentAt) {
        this->toUpstream(from, address, std::move(datagram), sentAt);
    };
    result.toCaller = [this](const SimulatedInstance &from, const Bytes &bytes) {
        const auto packet = WirePacket::parse(bytes);
        if (!packet)
            return;
        this->resetBy[{packet->destination, packet->source}] = from.member().name;
        this->toCaller(from.place(), *packet);
    };
    result.connect = [this](const Place &from, Endpoint address,
                            balance::BalancerHooks::ProbeHandler handler) {
        this->connect(from, address, std::move(handler));
    };
    result.onDecision = [this](const SimulatedInstance &from, const balance::FlowPacket &packet,
                               const balance::SteeringDecision &decision) {
        this->onDecision(from, packet, decision);
    };
    result.onLogLine = this->hooks.onLogLine;
    return result;
}

UpstreamModelHooks Run::upstreamHooks(std::size_t number)
{
    UpstreamModelHooks result;
    result.send = [this, number](WirePacket packet) {
        (void)packet.toBytes(); // Seals it.
        this->toCaller(this->fleet.member(number).place(), std::move(packet));
    };
    result.workFor = [this](const HttpRequest &request) -> Work {
        const RequestClass *requestClass = this->classOf(request);
        return requestClass == nullptr ? Work{}
                                       : Work{requestClass->workTime, requestClass->answerBytes};
    };
    result.onSyn = [this, number](const WirePacket &syn) {
        this->checks.onSyn(number, syn, *this->arriving, this->surroundings.loop.now());
    };
    result.onPacket = [this, number](const WirePacket &packet, bool known) {
        this->checks.onPacket(number, packet, known, *this->arriving,
                              this->surroundings.loop.now());
    };
    result.onRun = [this](const HttpRequest &request) {
        const RequestClass *requestClass = this->classOf(request);
        this->checks.onRun(request, requestClass != nullptr
                                        && requestClass->kind == balance::RequestKind::Idempotent);
    };
    return result;
}

CallerPopulationHooks Run::callerHooks(const std::string &domain)
{
    CallerPopulationHooks result;
    result.send = [this, domain](WirePacket packet) {
        this->fromCaller(domain, std::move(packet));
    };
    result.onForeignReset = [this](const CallerFlow &flow, bool opened) {
        const FlowKey key{flow.localAddress(), flow.routeAddress()};
        this->checks.onForeignReset(key.caller, key.route, opened, flow.openedAt(),
                                    this->resetBy[key], this->surroundings.loop.now());
    };
    result.onResult = [this](const RequestClass &requestClass, RequestResult outcome,
                             Duration sentAt, Duration time) {
        this->report.addRequest(requestClass.name, outcome, sentAt, time);
    };
    result.onBroken = [this](Promise promise, const std::string &what) {
        this->onBroken(promise, what);
    };
    return result;
}

void Run::fromCaller(const std::string &domain, WirePacket packet)
{
    const Place caller{Place::Role::Caller, domain, "callers"};
    const auto index = this->fabric.route(domain, packet.source, packet.destination);
    if (!index)
        return;
    SimulatedInstance &instance = *this->instances[*index];
    const TimePoint sentAt = this->surroundings.loop.now();
    const Bytes bytes = packet.toBytes();
    this->surroundings.transport.send(
        caller, instance.place(), datagramOf(bytes.size()),
        [&instance, sentAt, bytes] { instance.onPacket(bytes, sentAt); });
}

void Run::toUpstream(const SimulatedInstance &from, Endpoint address, Bytes datagram,
                     TimePoint sentAt)
{
    const auto owner = this->fleet.ownerOf(address);
    if (!owner)
        return;
    const Place machine = this->fleet.member(*owner).place();
    const Transmission transmission = datagramOf(datagram.size());
    this->surroundings.transport.send(from.place(), machine, transmission,
                                      [this, address, datagram = std::move(datagram),
                                       transit = Transit{from.member().name, sentAt}] {
                                          this->arrive(address, datagram, transit);
                                      });
}

void Run::arrive(Endpoint address, const Bytes &datagram, const Transit &transit)
{
    const auto owner = this->fleet.ownerOf(address);
    if (!owner)
        return;
    const FleetMember &member = this->fleet.member(*owner);
    if (this->surroundings.links.isDark(member.entry.name))
        return;
    if (!member.model) {
        this->refuse(member.place(), datagram);
        return;
    }
    this->arriving = transit;
    member.model->onDatagram(datagram);
    this->arriving.reset();
}

void Run::refuse(const Place &machine, std::span<const std::byte> datagram)
{
    // The machine of a process that is gone answers for it.
    constexpr std::size_t idBytes = sizeof(std::uint64_t);
    if (datagram.size() < idBytes)
        return;
    const auto packet = WirePacket::parse(datagram.subspan(idBytes));
    if (!packet || packet->rst)
        return;
    WirePacket reset;
    reset.source = packet->destination;
    reset.destination = packet->source;
    reset.rst = true;
    (void)reset.toBytes();
    this->toCaller(machine, std::move(reset));
}

void Run::toCaller(const Place &from, WirePacket packet)
{
    const auto population = std::ranges::find_if(
        this->populations, [&](const auto &each) { return each->owns(packet.destination); });
    const Place caller{Place::Role::Caller, "", "callers"};
    if (population == this->populations.end())
        return;
    const Transmission transmission = datagramOf(packet.size());
    this->surroundings.transport.send(
        from, caller, transmission,
        [callers = population->get(), packet = std::move(packet)] { callers->onPacket(packet); });
}

void Run::onDecision(const SimulatedInstance &from, const balance::FlowPacket &packet,
                     const balance::SteeringDecision &decision)
{
    this->report.addCounter(std::string(toString(decision.reason)), 1);
    const bool unrouted = decision.reason == balance::SteeringReason::NoRoute
                          || decision.reason == balance::SteeringReason::RouteRemoved;
    if (unrouted && packet.syn)
        this->checks.onUnrouted(packet.route, {from.member().name, this->surroundings.loop.now()},
                                this->surroundings.loop.now());
}

void Run::connect(const Place &from, Endpoint address, balance::BalancerHooks::ProbeHandler handler)
{
    using balance::ProbeResult;
    this->report.addCounter("probe", 1);
    Place target;
    bool runs = false;
    bool overloaded = false;
    if (const SimulatedInstance *instance = this->instanceAt(address)) {
        target = instance->place();
        runs = instance->isRunning();
    } else if (const auto owner = this->fleet.ownerOf(address)) {
        const FleetMember &member = this->fleet.member(*owner);
        target = member.place();
        runs = member.model != nullptr;
        overloaded = runs && member.model->refusesConnections();
    } else {
        return;
    }
    if (!this->surroundings.links.connected(from, target))
        return;
    if (overloaded)
        this->report.addCounter("probe_refused_by_overload", 1);
    const ProbeResult result = runs && !overloaded ? ProbeResult::Connected : ProbeResult::Refused;
    this->surroundings.transport.probe(from, target,
                                       [handler = std::move(handler), result] { handler(result); });
}

SimulatedInstance *Run::instanceAt(Endpoint peer) const
{
    const std::uint32_t index = peer.address - internal::instanceNetwork;
    if (peer.port != internal::instancePort || index >= this->instances.size())
        return nullptr;
    return this->instances[index].get();
}

const RequestClass *Run::classOf(const HttpRequest &request) const
{
    const auto found = std::ranges::find_if(this->settings.classes, [&](const RequestClass &each) {
        return '/' + each.name == request.path;
    });
    return found == this->settings.classes.end() ? nullptr : &*found;
}

void Run::onBroken(Promise promise, const std::string &what)
{
    this->report.addBroken(promise, this->sinceTraffic(), what);
}

void Run::checkRecovery()
{
    using std::chrono::duration_cast;
    using std::chrono::seconds;
    for (const PlannedFault &fault : this->faults) {
        if (fault.kind != FaultKind::AllInstancesLost)
            continue;
        const auto lostAt = duration_cast<seconds>(fault.at).count();
        const auto due
            = duration_cast<seconds>(fault.at + fault.duration + this->settings.bounds.recovery)
                  .count();
        const RequestCounts before = this->report.between(0, lostAt);
        const RequestCounts after = this->report.between(due, due + internal::recoveryWindow);
        const bool served = after.servedShare() >= internal::recoveredShare;
        if (before.servedShare() >= internal::recoveredShare && after.total() > 0 && !served)
            this->report.addBroken(Promise::Recovery, seconds(due),
                                   "served share " + std::to_string(after.servedShare()));
    }
}

void Run::addLoads()
{
    for (const ServiceSettings &service : this->settings.services) {
        std::uint64_t sum = 0;
        std::uint64_t greatest = 0;
        const std::vector<std::size_t> serving = this->fleet.serving(service.name);
        for (const std::size_t number : serving) {
            const std::uint64_t runs = this->fleet.member(number).model->runs();
            sum += runs;
            greatest = std::max(greatest, runs);
        }
        if (sum > 0)
            this->report.addLoad(service.name, static_cast<double>(greatest)
                                                   * static_cast<double>(serving.size())
                                                   / static_cast<double>(sum));
    }
}

std::vector<PlannedFault> randomFaults(const RunSettings &settings, std::size_t count,
                                       std::uint64_t seed)
{
    constexpr double shortest = 0.5; // In seconds, as the next three.
    constexpr double longest = 6.0;
    constexpr double firstAt = 2.0;
    constexpr double quietEnd = 8.0;
    Random random(seed);
    const std::chrono::duration<double> length = settings.length;
    std::uniform_real_distribution<double> at(firstAt,
                                              std::max(firstAt + 1, length.count() - quietEnd));
    std::uniform_real_distribution<double> duration(shortest, longest);
    std::uniform_real_distribution<double> share(0.1, 0.6);
    std::uniform_int_distribution<unsigned> kind(0, static_cast<unsigned>(FaultKind::Count) - 1);
    const auto toDuration = [](double seconds) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    };
    std::vector<PlannedFault> faults;
    for (std::size_t i = 0; i < count; ++i) {
        PlannedFault fault;
        fault.kind = static_cast<FaultKind>(kind(random));
        fault.at = toDuration(at(random));
        fault.duration = toDuration(duration(random));
        fault.share = share(random);
        faults.push_back(fault);
    }
    std::ranges::sort(faults, {}, &PlannedFault::at);
    return faults;
}

} // namespace bulrushgap::simulation
