#include "support/LargeDeployment.h"

#include <algorithm>
#include <array>

namespace bulrushgap::simulation {

namespace {

constexpr std::uint32_t network = 0x0a00'0001;
constexpr std::uint16_t peerPort = 7720;
constexpr unsigned upstreams = 100;
constexpr std::size_t seedCount = 3;
constexpr std::array<const char *, 3> storeCounters{"store_list", "store_watch", "store_write"};

std::string upstreamName(unsigned number)
{
    return "i-" + std::to_string(number);
}

} // namespace

LargeDeployment::LargeDeployment(unsigned domains, unsigned instancesPerDomain, unsigned strong)
    : surroundings(1, {}, std::chrono::seconds(20))
{
    const std::size_t total = std::size_t{domains} * instancesPerDomain;
    std::vector<Endpoint> seedAddresses;
    for (std::size_t number = 0; number < seedCount && number < total; ++number) {
        const std::size_t index = total - 1 - number * (total / seedCount);
        this->seeds.insert(index);
        seedAddresses.push_back({network + static_cast<std::uint32_t>(index), peerPort});
    }
    for (std::size_t index = 0; index < total; ++index) {
        const std::string domain = "d" + std::to_string(index / instancesPerDomain);
        const bool isStrong = index % instancesPerDomain < strong;
        this->instances.push_back(std::make_unique<SimulatedInstance>(
            this->surroundings,
            balance::Member{domain + '-' + std::to_string(1'000 + index), domain,
                            Endpoint{network + static_cast<std::uint32_t>(index), peerPort},
                            isStrong ? 200U : 20U},
            seedAddresses, this->hooks()));
    }
}

SimulatedInstanceHooks LargeDeployment::hooks()
{
    SimulatedInstanceHooks result;
    result.findPeer = [this](Endpoint peer) -> SimulatedInstance * {
        const std::uint32_t index = peer.address - network;
        return index < this->instances.size() ? this->instances[index].get() : nullptr;
    };
    result.toUpstream = [](const SimulatedInstance &, Endpoint, const Bytes &, TimePoint) {
    };
    result.toCaller = [](const SimulatedInstance &, const Bytes &) {
    };
    result.connect = [this](const Place &from, Endpoint address,
                            balance::BalancerHooks::ProbeHandler handler) {
        const std::uint32_t index = address.address - network;
        const bool runs = index < this->instances.size() && this->instances[index]->isRunning();
        const auto result = runs ? balance::ProbeResult::Connected : balance::ProbeResult::Refused;
        this->surroundings.transport.probe(
            from, {}, [result, handler = std::move(handler)] { handler(result); });
    };
    result.onDecision = [](const SimulatedInstance &, const balance::FlowPacket &,
                           const balance::SteeringDecision &) {
    };
    return result;
}

void LargeDeployment::settle()
{
    this->configure(1);
    for (unsigned number = 0; number < upstreams; ++number)
        this->addUpstream(number);
    for (const auto &instance : this->instances)
        instance->start(true);
    this->run(std::chrono::seconds(10));
    this->resetCounts();
}

template <typename Done>
Duration LargeDeployment::runUntil(Done done)
{
    constexpr Duration step = std::chrono::milliseconds(10);
    constexpr Duration limit = std::chrono::seconds(20);
    Duration time{};
    while (!done() && time < limit) {
        this->run(step);
        time += step;
    }
    return time;
}

Duration LargeDeployment::runUntilReady()
{
    return this->runUntil([this] {
        return std::ranges::all_of(this->instances, [](const auto &instance) {
            return !instance->isRunning() || instance->isReady();
        });
    });
}

Duration LargeDeployment::runUntilVersion(std::uint64_t version)
{
    return this->runUntil([this, version] { return this->behind(version) == 0; });
}

void LargeDeployment::configure(std::uint64_t version)
{
    balance::Configuration configuration;
    configuration.version = version;
    configuration.idleTimeout = std::chrono::seconds(10);
    this->surroundings.store.put(
        ViewKind::Configurations, "main",
        std::make_shared<const balance::Configuration>(std::move(configuration)));
}

void LargeDeployment::addUpstream(unsigned number)
{
    balance::UpstreamEntry entry;
    entry.name = upstreamName(number);
    entry.wireId = number;
    entry.address = {number + 1, 80};
    entry.service = "dispatch";
    entry.domain = "d0";
    this->surroundings.store.put(ViewKind::Upstreams, entry.name, entry);
}

void LargeDeployment::removeUpstream(unsigned number)
{
    this->surroundings.store.remove(ViewKind::Upstreams, upstreamName(number));
}

ViewList LargeDeployment::listOf(SimulatedInstance &instance, ViewKind kind) const
{
    ViewList result;
    if (balance::ObjectMirror *mirror = instance.mirror())
        mirror->list({kind, std::nullopt, {}, false}, [&](const auto &list) { result = *list; });
    return result;
}

std::size_t LargeDeployment::lacking(unsigned upstream)
{
    return static_cast<std::size_t>(std::ranges::count_if(this->instances, [&](const auto &each) {
        const ViewList list = this->listOf(*each, ViewKind::Upstreams);
        return each->isRunning()
               && std::ranges::find(list.objects, upstreamName(upstream), &balance::ViewItem::key)
                      == list.objects.end();
    }));
}

std::size_t LargeDeployment::behind(std::uint64_t version)
{
    return static_cast<std::size_t>(std::ranges::count_if(this->instances, [&](const auto &each) {
        if (!each->isRunning() || each->isFrozen())
            return false;
        const ViewList list = this->listOf(*each, ViewKind::Configurations);
        return list.objects.empty()
               || std::get<balance::ConfigurationPtr>(list.objects[0].value)->version != version;
    }));
}

void LargeDeployment::killAndRestart(const std::vector<std::size_t> &indexes, Duration pause)
{
    for (const std::size_t index : indexes) {
        for (const char *counter : storeCounters)
            this->callsOfEnded += this->instances[index]->counter(counter);
        this->instances[index]->kill();
    }
    this->run(pause);
    for (const std::size_t index : indexes)
        this->instances[index]->start(false);
}

std::uint64_t LargeDeployment::calls(const std::string &counter) const
{
    std::uint64_t sum = 0;
    for (const auto &instance : this->instances)
        sum += instance->counter(counter);
    return sum;
}

std::uint64_t LargeDeployment::storeCalls() const
{
    std::uint64_t sum = this->callsOfEnded;
    for (const char *counter : storeCounters)
        sum += this->calls(counter);
    return sum - this->callsBefore;
}

std::size_t LargeDeployment::upstreamCount()
{
    return upstreams;
}

void LargeDeployment::resetCounts()
{
    this->callsBefore += this->storeCalls();
}

std::vector<std::size_t> LargeDeployment::every(std::size_t step) const
{
    std::vector<std::size_t> result;
    for (std::size_t index = 0; index < this->instances.size(); index += step) {
        if (step == 1 || !this->seeds.contains(index))
            result.push_back(index);
    }
    return result;
}

} // namespace bulrushgap::simulation
