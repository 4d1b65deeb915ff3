#include "support/EngineCluster.h"

#include <algorithm>

namespace bulrushgap::test {

using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t dataPort = 9000;
constexpr unsigned serviceCount = 2;
constexpr unsigned slots = 2;
constexpr unsigned requestsUntilWarm = 8;
constexpr Duration configurationBound = 3s;

Endpoint serviceAddress(unsigned service)
{
    return {0x0a000001U + service, 80};
}

} // namespace

EngineCluster::EngineCluster(const ClusterOptions &options)
    : random(options.seed)
    , options(options)
{
    this->createObjects();
    for (unsigned domain = 0; domain < options.domains; ++domain) {
        for (unsigned i = 0; i < options.instancesPerDomain; ++i) {
            Instance instance;
            instance.name = "i" + std::to_string(domain) + "-" + std::to_string(i);
            instance.domain = domain;
            const auto address = 0x7f010000U + (domain << 8U) + i + 1;
            instance.identity = {.deployment = "test",
                                 .scope = "main",
                                 .name = instance.name,
                                 .domain = "d" + std::to_string(domain),
                                 .bootId = 0,
                                 .peerAddress = {address, dataPort + 1},
                                 .dataAddress = {address, dataPort},
                                 .id = std::nullopt};
            this->instances.push_back(std::move(instance));
        }
    }
    for (std::size_t instance = 0; instance < this->instances.size(); ++instance)
        this->start(instance);
    this->boundsSuspendedUntil = this->queue.now();
}

void EngineCluster::startTraffic()
{
    for (unsigned i = 0; i < this->options.flows; ++i) {
        this->flows.push_back({});
        this->queue.after(this->delay(0, 200'000), [this, i] { this->sendFlowPacket(i); });
    }
    this->sendRequest();
}

std::string EngineCluster::upstreamName(unsigned domain, unsigned service, unsigned index) const
{
    return "u" + std::to_string(domain) + "-" + std::to_string(service) + "-"
           + std::to_string(index);
}

void EngineCluster::createObjects()
{
    for (unsigned service = 0; service < serviceCount; ++service) {
        const auto name = "s" + std::to_string(service);
        this->store.put("service/" + name, {{"address", serviceAddress(service).toString()},
                                            {"selector", "app=" + name}});
    }
    for (unsigned domain = 0; domain < this->options.domains; ++domain) {
        this->store.put("domain/d" + std::to_string(domain), {{"labels", boost::json::object()}});
        for (unsigned service = 0; service < serviceCount; ++service) {
            for (unsigned i = 0; i < this->options.upstreamsPerDomain; ++i) {
                auto upstream = std::make_unique<Upstream>();
                upstream->name = this->upstreamName(domain, service, i);
                upstream->domain = domain;
                upstream->service = service;
                upstream->warmUpRequests = requestsUntilWarm;
                upstream->address
                    = {0x7f020000U + (domain << 8U) + i, static_cast<std::uint16_t>(service + 1)};
                this->upstreams.push_back(std::move(upstream));
                this->labelUpstream(this->upstreams.back()->name, "");
            }
        }
    }
}

void EngineCluster::labelUpstream(const std::string &name, const std::string &state)
{
    const auto found
        = std::ranges::find(this->upstreams, name, [](const auto &u) { return u->name; });
    auto &upstream = **found;
    upstream.state = state;
    upstream.stateSince = this->queue.now();
    boost::json::object labels{{"app", "s" + std::to_string(upstream.service)}};
    if (!state.empty())
        labels["state"] = state;
    this->store.put("upstream/" + name, {{"address", upstream.address.toString()},
                                         {"domain", "d" + std::to_string(upstream.domain)},
                                         {"labels", labels},
                                         {"slots", slots},
                                         {"connections", 2000}});
}

void EngineCluster::labelDomain(unsigned domain, const std::string &state)
{
    boost::json::object labels;
    if (!state.empty())
        labels["state"] = state;
    if (state == "out")
        this->outSince[domain] = this->queue.now();
    else
        this->outSince.erase(domain);
    this->store.put("domain/d" + std::to_string(domain), {{"labels", labels}});
}

Duration EngineCluster::delay(int low, int high)
{
    return Duration(std::uniform_int_distribution<int>(low, high)(this->random));
}

bool EngineCluster::chance(double share)
{
    return std::bernoulli_distribution(share)(this->random);
}

bool EngineCluster::reachable(unsigned first, unsigned second) const
{
    return first == second
           || (!this->cutDomains.contains(first) && !this->cutDomains.contains(second));
}

void EngineCluster::suspendBounds(Duration faultLength)
{
    this->boundsSuspendedUntil = std::max(this->boundsSuspendedUntil,
                                          this->queue.now() + faultLength + 2 * configurationBound);
}

void EngineCluster::updateDisturbance()
{
    const bool disturbed = this->store.outage || !this->cutDomains.empty();
    if (!disturbed)
        this->disturbedSince.reset();
    else if (!this->disturbedSince)
        this->disturbedSince = this->queue.now();
}

bool EngineCluster::isDue(TimePoint changed) const
{
    const auto bound = changed + configurationBound;
    // A change that could not take effect before an outage or partition may be delayed until its
    // end.
    return this->queue.now() > this->boundsSuspendedUntil && this->queue.now() > bound
           && (!this->disturbedSince || bound <= *this->disturbedSince);
}

std::optional<std::size_t> EngineCluster::instanceAt(Endpoint address) const
{
    const auto found = std::ranges::find_if(this->instances, [&](const Instance &instance) {
        return instance.identity.dataAddress == address;
    });
    if (found == this->instances.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - this->instances.begin());
}

std::optional<std::size_t> EngineCluster::instanceNamed(std::string_view name) const
{
    const auto found = std::ranges::find(this->instances, name, &Instance::name);
    if (found == this->instances.end())
        return std::nullopt;
    return static_cast<std::size_t>(found - this->instances.begin());
}

void EngineCluster::start(std::size_t index)
{
    auto &instance = this->instances[index];
    instance.boot = this->nextBoot++;
    instance.identity.bootId = instance.boot * 0x9e3779b97f4a7c15ULL;
    instance.random = std::make_unique<Random>(this->random());
    instance.counters = std::make_shared<Counters>();
    instance.leaving = false;
    instance.lastInForce = {};
    instance.pausedUntil = {};
    PlanStoreHooks hooks;
    const auto boot = instance.boot;
    hooks.write = [this, index, boot](const WritePlan &order) {
        if (this->cutDomains.contains(this->instances[index].domain))
            return;
        this->queue.after(this->delay(500, 4000), [this, index, boot, order] {
            const auto result = this->store.write(order);
            this->deliver(
                index, this->delay(500, 4000),
                [this, index, boot, order, result](InstanceEngine &engine, Actions &actions) {
                    if (this->instances[index].boot == boot)
                        engine.onPlanWritten(order.writeId, result, this->queue.now(), actions);
                });
        });
    };
    hooks.read = [this, index, boot] {
        const bool cutOff = this->cutDomains.contains(this->instances[index].domain);
        const auto result = cutOff ? ReadResult{} : this->store.read();
        this->deliver(index, this->delay(500, 8000),
                      [this, index, boot, result](InstanceEngine &engine, Actions &actions) {
                          if (this->instances[index].boot == boot)
                              engine.onPlanRead(result, this->queue.now(), actions);
                      });
    };
    EngineSettings settings = this->options.engine;
    settings.active.ticket.validity = settings.active.request.ticketValidity;
    instance.engine
        = std::make_unique<InstanceEngine>(instance.identity, settings, KeyedHash(7),
                                           *instance.random, *instance.counters, std::move(hooks));
    for (std::size_t other = 0; other < this->instances.size(); ++other) {
        if (other != index && this->running(other))
            this->connect(index, other);
    }
    this->queue.after(this->delay(0, 20'000),
                      [this, index, boot] { this->tickInstance(index, boot); });
}

void EngineCluster::connect(std::size_t first, std::size_t second)
{
    if (!this->reachable(this->instances[first].domain, this->instances[second].domain))
        return;
    const auto sendHello = [this](std::size_t from, std::size_t to) {
        const auto hello = this->instances[from].engine->hello();
        this->deliver(to, this->delay(500, 3000),
                      [this, hello](InstanceEngine &engine, Actions &actions) {
                          engine.onPeerUp(hello, this->queue.now(), actions);
                      });
    };
    sendHello(first, second);
    sendHello(second, first);
}

void EngineCluster::kill(std::size_t index)
{
    auto &instance = this->instances[index];
    if (instance.engine == nullptr)
        return;
    instance.counters->visit([&](auto family, auto label, auto value) {
        if (value > 0)
            this->countersOfEndedInstances[std::string(family) + "/" + std::string(label)] += value;
    });
    instance.engine.reset();
    instance.boot = 0;
    instance.fabricListedUntil = this->queue.now() + 1s;
    this->suspendBounds();
}

void EngineCluster::stopGracefully(std::size_t index)
{
    auto &instance = this->instances[index];
    instance.leaving = true;
    instance.engine->beginStop(this->queue.now());
}

void EngineCluster::pause(std::size_t index, Duration duration)
{
    this->instances[index].pausedUntil = this->queue.now() + duration;
    this->suspendBounds(duration);
}

void EngineCluster::cut(unsigned domain, bool cutOff)
{
    this->suspendBounds();
    if (cutOff) {
        this->cutDomains.insert(domain);
        this->updateDisturbance();
        return;
    }
    this->cutDomains.erase(domain);
    this->updateDisturbance();
    for (std::size_t first = 0; first < this->instances.size(); ++first) {
        for (std::size_t second = first + 1; second < this->instances.size(); ++second) {
            if (this->running(first) && this->running(second)
                && this->instances[first].domain != this->instances[second].domain)
                this->connect(first, second);
        }
    }
}

void EngineCluster::setStoreOutage(bool outage)
{
    this->store.outage = outage;
    this->updateDisturbance();
    this->suspendBounds();
}

void EngineCluster::setHang(const std::string &name, bool hang)
{
    const auto found
        = std::ranges::find(this->upstreams, name, [](const auto &u) { return u->name; });
    (*found)->hang = hang;
    this->suspendBounds();
}

void EngineCluster::setCold(const std::string &name)
{
    const auto found
        = std::ranges::find(this->upstreams, name, [](const auto &u) { return u->name; });
    (*found)->warmUpRequests = 0;
    (*found)->coldReportedAt.reset();
}

void EngineCluster::deliver(std::size_t index, Duration delay,
                            std::function<void(InstanceEngine &, Actions &)> call)
{
    const auto boot = this->instances[index].boot;
    this->queue.after(delay, [this, index, boot, call = std::move(call)]() mutable {
        auto &instance = this->instances[index];
        if (instance.engine == nullptr || instance.boot != boot)
            return;
        if (this->queue.now() < instance.pausedUntil) {
            this->deliver(index, instance.pausedUntil - this->queue.now() + this->delay(0, 2000),
                          std::move(call));
            return;
        }
        this->invoke(index, call);
    });
}

void EngineCluster::invoke(std::size_t index,
                           const std::function<void(InstanceEngine &, Actions &)> &call)
{
    auto &instance = this->instances[index];
    Actions actions;
    call(*instance.engine, actions);
    const auto *plan = instance.engine->planInForce();
    if (plan != nullptr) {
        if (plan->id < instance.lastInForce)
            ++this->violations.revertedPlans;
        instance.lastInForce = plan->id;
    }
    this->execute(index, actions);
}

void EngineCluster::tickInstance(std::size_t index, std::uint64_t boot)
{
    auto &instance = this->instances[index];
    if (instance.engine == nullptr || instance.boot != boot)
        return;
    if (this->queue.now() >= instance.pausedUntil) {
        this->pollStore(index);
        this->invoke(index, [this](InstanceEngine &engine, Actions &actions) {
            engine.tick(this->queue.now(), actions);
        });
        if (instance.leaving && instance.engine->stopped(this->queue.now())) {
            this->kill(index);
            return;
        }
    }
    this->queue.after(20ms, [this, index, boot] { this->tickInstance(index, boot); });
}

void EngineCluster::pollStore(std::size_t index)
{
    auto &instance = this->instances[index];
    const bool up = !this->store.outage && !this->cutDomains.contains(instance.domain);
    instance.engine->control().setPlatformReachable(up);
    if (!up || !instance.engine->control().needsObjects(this->queue.now()))
        return;
    auto &view = instance.engine->control().objects();
    if (view.listed() && view.revision() >= this->store.revision)
        return;
    for (const std::string prefix : {"service/", "upstream/", "domain/", "instance/"}) {
        std::vector<ListedObject> objects;
        for (const auto &[key, object] : this->store.objects) {
            if (key.starts_with(prefix))
                objects.push_back({key, object.version, object.value});
        }
        view.applyList(prefix, this->store.revision, objects);
    }
}

bool EngineCluster::converge(Duration limit)
{
    const auto end = this->queue.now() + limit;
    while (this->queue.now() < end) {
        this->run(50ms);
        std::set<std::pair<PlanId, std::uint64_t>> inForce;
        std::uint64_t config = 0;
        for (const auto &[key, object] : this->store.objects) {
            if (!key.starts_with("plan/"))
                config = std::max(config, object.version);
        }
        std::size_t running = 0;
        for (const auto &instance : this->instances) {
            if (instance.engine == nullptr)
                continue;
            ++running;
            const auto *plan = instance.engine->planInForce();
            if (plan != nullptr)
                inForce.emplace(plan->id, plan->configVersion);
        }
        if (inForce.size() == 1 && inForce.begin()->second >= config && running > 0
            && std::ranges::all_of(this->instances, [](const Instance &instance) {
                   return instance.engine == nullptr || instance.engine->ready();
               }))
            return true;
    }
    return false;
}

std::uint64_t EngineCluster::counter(std::string_view name) const
{
    const auto past = this->countersOfEndedInstances.find(std::string(name));
    std::uint64_t total = past == this->countersOfEndedInstances.end() ? 0 : past->second;
    for (const auto &instance : this->instances) {
        if (instance.engine == nullptr)
            continue;
        instance.counters->visit([&](auto family, auto label, auto value) {
            if (name == std::string(family) + "/" + std::string(label))
                total += value;
        });
    }
    return total;
}

std::string EngineCluster::report() const
{
    auto totals = this->countersOfEndedInstances;
    for (const auto &instance : this->instances) {
        if (instance.engine == nullptr)
            continue;
        instance.counters->visit([&](auto family, auto label, auto value) {
            if (value > 0)
                totals[std::string(family) + "/" + std::string(label)] += value;
        });
    }
    const auto &all = this->outcomes;
    std::string text
        = "requests=" + std::to_string(all.requests) + " answered=" + std::to_string(all.answered)
          + " not_run=" + std::to_string(all.notRun) + " may_have_run="
          + std::to_string(all.mayHaveRun) + " bookings=" + std::to_string(all.bookings)
          + " bookings_run=" + std::to_string(all.bookingsRun)
          + " flow_packets=" + std::to_string(all.flowPackets) + " flow_packets_served="
          + std::to_string(all.flowPacketsServed) + " resets=" + std::to_string(all.resets)
          + " moved_unplanned=" + std::to_string(all.movedUnplanned) + '\n';
    for (const auto &[reason, count] : all.refusals)
        text += "told " + reason + "=" + std::to_string(count) + '\n';
    for (const auto &[name, value] : totals)
        text += name + "=" + std::to_string(value) + '\n';
    return text;
}

std::uint64_t EngineCluster::invariantCounters() const
{
    std::uint64_t total = 0;
    const auto add = [&](std::string_view label, std::uint64_t value) {
        if (label.find("invariant_") != std::string_view::npos)
            total += value;
    };
    for (const auto &[name, value] : this->countersOfEndedInstances)
        add(name, value);
    for (const auto &instance : this->instances) {
        if (instance.engine != nullptr)
            instance.counters->visit([&](auto, auto label, auto value) { add(label, value); });
    }
    return total;
}

} // namespace bulrushgap::test
