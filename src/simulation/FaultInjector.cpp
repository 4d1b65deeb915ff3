#include "simulation/FaultInjector.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr double slowUpstreamFactor = 5.0;
constexpr double slowStoreFactor = 50.0;
constexpr double hangingShare = 0.5;
constexpr double lossShare = 0.1;
constexpr double lostAnswerShare = 0.5;
constexpr double burstFactor = 3.0;
constexpr Duration stopGap = std::chrono::seconds(2); //!< Between instances that are stopped.
constexpr Duration restartDelay = std::chrono::milliseconds(300);
constexpr Duration releaseGap = std::chrono::milliseconds(800);
constexpr Duration publishGap = std::chrono::milliseconds(100);

} // namespace internal

FaultInjector::FaultInjector(Surroundings &surroundings, const RunSettings &settings,
                             FaultTargets targets)
    : surroundings(surroundings)
    , settings(settings)
    , targets(targets)
{}

void FaultInjector::apply(const PlannedFault &fault)
{
    if (fault.kind <= FaultKind::AllInstancesLost)
        this->applyToInstances(fault);
    else if (fault.kind <= FaultKind::ScaleIn)
        this->applyToUpstreams(fault);
    else if (fault.kind <= FaultKind::Loss)
        this->applyToLinks(fault);
    else if (fault.kind <= FaultKind::StoreForgets)
        this->applyToStore(fault);
    else
        this->applyToOperators(fault);
}

void FaultInjector::applyToInstances(const PlannedFault &fault)
{
    switch (fault.kind) {
    case FaultKind::InstanceKill:
        this->killInstances(fault, fault.share);
        break;
    case FaultKind::AllInstancesLost:
        this->killInstances(fault, 1.0);
        break;
    case FaultKind::InstanceFreeze:
        for (const std::size_t index : this->sampleInstances(fault.share)) {
            SimulatedInstance &instance = *this->targets.instances[index];
            instance.freeze(fault.duration);
            this->disturbances().instance(instance.member().name, this->now() + fault.duration);
        }
        break;
    case FaultKind::InstanceStop:
        this->stopInstances(fault);
        break;
    case FaultKind::InstanceIsolated:
        this->isolateInstances(fault, &Links::isolate);
        break;
    case FaultKind::InstanceWithoutStore:
        this->isolateInstances(fault, &Links::cutFromStore);
        break;
    default:
        break;
    }
}

void FaultInjector::killInstances(const PlannedFault &fault, double share)
{
    for (const std::size_t index : this->sampleInstances(share)) {
        SimulatedInstance &instance = *this->targets.instances[index];
        instance.kill();
        this->disturbances().instance(instance.member().name, this->now() + fault.duration);
        this->undoAfter(fault.duration, [&instance] {
            if (!instance.isRunning())
                instance.start(false);
        });
    }
}

void FaultInjector::stopInstances(const PlannedFault &fault)
{
    Duration at{};
    for (const std::size_t index : this->sampleInstances(fault.share)) {
        SimulatedInstance &instance = *this->targets.instances[index];
        this->undoAfter(at, [&instance] { instance.stop(); });
        this->undoAfter(at + internal::stopGap, [this, &instance] {
            this->undoAfter(internal::restartDelay, [&instance] {
                if (!instance.isRunning())
                    instance.start(false);
            });
        });
        at += internal::stopGap;
    }
}

void FaultInjector::isolateInstances(const PlannedFault &fault,
                                     void (Links::*cut)(const std::string &, bool))
{
    for (const std::size_t index : this->sampleInstances(fault.share)) {
        const std::string name = this->targets.instances[index]->member().name;
        (this->surroundings.links.*cut)(name, true);
        this->disturbances().instance(name, this->now() + fault.duration);
        this->undoAfter(fault.duration,
                        [this, name, cut] { (this->surroundings.links.*cut)(name, false); });
    }
}

void FaultInjector::applyToUpstreams(const PlannedFault &fault)
{
    UpstreamFleet &fleet = this->targets.fleet;
    const auto disturb = [&](std::size_t number) {
        fleet.member(number).disturbedUntil = this->now() + fault.duration;
    };
    switch (fault.kind) {
    case FaultKind::UpstreamCrash:
        for (const std::size_t number : this->sampleUpstreams(fault.share)) {
            fleet.crash(number);
            this->undoAfter(fault.duration, [&fleet, number] { fleet.restart(number); });
        }
        break;
    case FaultKind::UpstreamDark:
        this->darkenUpstreams(fault);
        break;
    case FaultKind::UpstreamReborn:
        for (const std::size_t number : this->sampleUpstreams(fault.share)) {
            fleet.crash(number);
            this->undoAfter(internal::restartDelay, [&fleet, number] { fleet.restart(number); });
        }
        break;
    case FaultKind::UpstreamSlow:
        for (const std::size_t number : this->sampleUpstreams(fault.share)) {
            disturb(number);
            fleet.member(number).model->setSlowness(internal::slowUpstreamFactor);
            this->undoAfter(fault.duration, [&fleet, number] {
                if (fleet.member(number).model)
                    fleet.member(number).model->setSlowness(1.0);
            });
        }
        break;
    case FaultKind::UpstreamHang:
        for (const std::size_t number : this->sampleUpstreams(fault.share)) {
            disturb(number);
            fleet.member(number).model->setHangShare(internal::hangingShare);
            this->undoAfter(fault.duration, [&fleet, number] {
                if (fleet.member(number).model)
                    fleet.member(number).model->setHangShare(0.0);
            });
        }
        break;
    case FaultKind::UpstreamReuse:
        this->reuseAddresses(fault);
        break;
    case FaultKind::Release:
        this->replaceUpstreams(fault);
        break;
    case FaultKind::ScaleOut:
        for (const std::size_t number : this->sampleUpstreams(fault.share)) {
            const balance::UpstreamEntry &entry = fleet.member(number).entry;
            (void)fleet.add(std::string(entry.service), std::string(entry.domain), true);
        }
        break;
    case FaultKind::ScaleIn:
        for (const std::size_t number : this->sampleUpstreams(fault.share))
            fleet.drain(number);
        break;
    default:
        break;
    }
}

void FaultInjector::darkenUpstreams(const PlannedFault &fault)
{
    UpstreamFleet &fleet = this->targets.fleet;
    for (const std::size_t number : this->sampleUpstreams(fault.share)) {
        const std::string name = fleet.member(number).entry.name;
        fleet.crash(number);
        this->surroundings.links.darken(name, true);
        this->undoAfter(fault.duration, [this, name, number] {
            this->surroundings.links.darken(name, false);
            this->targets.fleet.restart(number);
        });
    }
}

void FaultInjector::reuseAddresses(const PlannedFault &fault)
{
    UpstreamFleet &fleet = this->targets.fleet;
    for (const std::size_t number : this->sampleUpstreams(fault.share)) {
        const balance::UpstreamEntry gone = fleet.member(number).entry;
        fleet.crash(number);
        this->undoAfter(internal::restartDelay, [this, gone] {
            const auto &services = this->settings.services;
            const auto other = std::ranges::find_if(
                services, [&](const ServiceSettings &each) { return each.name != gone.service; });
            if (other != services.end())
                (void)this->targets.fleet.add(other->name, gone.domain, true, gone.address);
        });
        // The service keeps its size.
        (void)fleet.add(gone.service, gone.domain, true);
    }
}

void FaultInjector::replaceUpstreams(const PlannedFault &fault)
{
    Duration at{};
    for (const std::size_t number : this->sampleUpstreams(fault.share)) {
        this->undoAfter(at, [this, number] {
            UpstreamFleet &fleet = this->targets.fleet;
            const balance::UpstreamEntry old = fleet.member(number).entry;
            (void)fleet.add(old.service, old.domain, true);
            fleet.drain(number);
        });
        at += internal::releaseGap;
    }
}

void FaultInjector::applyToLinks(const PlannedFault &fault)
{
    switch (fault.kind) {
    case FaultKind::DomainCut:
        this->partition(fault, &Links::cutDomain);
        break;
    case FaultKind::DomainOneWay:
        this->partition(fault, &Links::cutOneWay);
        break;
    case FaultKind::DomainLost:
        this->loseDomain(fault);
        break;
    case FaultKind::Loss:
        this->surroundings.links.setLoss(internal::lossShare);
        for (const std::string &domain : this->settings.domains) {
            this->disturbInstances(domain, fault.duration);
            this->disturbUpstreams(domain, fault.duration);
        }
        this->undoAfter(fault.duration, [this] { this->surroundings.links.setLoss(0.0); });
        break;
    default:
        break;
    }
}

void FaultInjector::partition(const PlannedFault &fault,
                              void (Links::*cut)(const std::string &, bool))
{
    const std::string domain = this->randomDomain();
    (this->surroundings.links.*cut)(domain, true);
    this->disturbInstances(domain, fault.duration);
    this->disturbUpstreams(domain, fault.duration);
    this->undoAfter(fault.duration,
                    [this, domain, cut] { (this->surroundings.links.*cut)(domain, false); });
}

void FaultInjector::loseDomain(const PlannedFault &fault)
{
    const std::string domain = this->randomDomain();
    UpstreamFleet &fleet = this->targets.fleet;
    for (const auto &instance : this->targets.instances) {
        if (instance->member().domain != domain)
            continue;
        instance->kill();
        this->surroundings.links.darken(instance->member().name, true);
        this->undoAfter(fault.duration, [this, machine = instance.get()] {
            this->surroundings.links.darken(machine->member().name, false);
            if (!machine->isRunning())
                machine->start(false);
        });
    }
    for (const std::size_t number : fleet.serving("")) {
        const balance::UpstreamEntry &entry = fleet.member(number).entry;
        if (entry.domain != domain)
            continue;
        fleet.crash(number);
        this->surroundings.links.darken(entry.name, true);
        this->undoAfter(fault.duration, [this, number, name = entry.name] {
            this->surroundings.links.darken(name, false);
            this->targets.fleet.restart(number);
        });
    }
    this->disturbInstances(domain, fault.duration);
    this->disturbUpstreams(domain, fault.duration);
}

void FaultInjector::applyToStore(const PlannedFault &fault)
{
    StoreFaults &faults = this->surroundings.storeFaults;
    const TimePoint end = this->now() + fault.duration;
    switch (fault.kind) {
    case FaultKind::StoreSilent:
        this->failStore(fault, StoreMode::Silent);
        break;
    case FaultKind::StoreReset:
        this->failStore(fault, StoreMode::Reset);
        break;
    case FaultKind::StoreBusy:
        this->failStore(fault, StoreMode::Busy);
        break;
    case FaultKind::StoreLapse:
        this->failStore(fault, StoreMode::Reset);
        this->targets.fleet.setRegistryAway(true, true);
        break;
    case FaultKind::StoreRefuses:
        this->turnInstancesAway(fault);
        break;
    case FaultKind::StoreSlow:
        faults.slowness = internal::slowStoreFactor;
        this->disturbances().store(end);
        this->undoAfter(fault.duration, [&faults] { faults.slowness = 1.0; });
        break;
    case FaultKind::StoreLosesAnswers:
        faults.lostWrites = internal::lostAnswerShare;
        this->disturbances().store(end);
        this->undoAfter(fault.duration, [&faults] { faults.lostWrites = 0.0; });
        break;
    case FaultKind::StoreForgets:
        this->surroundings.store.forgetHistory();
        this->disturbances().store(this->now());
        break;
    default:
        break;
    }
}

void FaultInjector::failStore(const PlannedFault &fault, StoreMode mode)
{
    StoreFaults &faults = this->surroundings.storeFaults;
    faults.mode = mode;
    this->surroundings.store.cutWatches();
    this->targets.fleet.setRegistryAway(true, false);
    this->disturbances().store(this->now() + fault.duration);
    this->undoAfter(fault.duration, [this, &faults] {
        faults.mode = StoreMode::Serving;
        this->targets.fleet.setRegistryAway(false, false);
    });
}

void FaultInjector::turnInstancesAway(const PlannedFault &fault)
{
    StoreFaults &faults = this->surroundings.storeFaults;
    faults.mode = StoreMode::TooMany;
    for (const std::size_t index : this->sampleInstances(fault.share)) {
        const std::string &name = this->targets.instances[index]->member().name;
        faults.only.insert(name);
        this->disturbances().instance(name, this->now() + fault.duration);
    }
    this->undoAfter(fault.duration, [&faults] {
        faults.mode = StoreMode::Serving;
        faults.only.clear();
    });
}

void FaultInjector::applyToOperators(const PlannedFault &fault)
{
    Operators &operators = this->targets.operators;
    switch (fault.kind) {
    case FaultKind::RouteDropped:
        operators.setLastRouteDropped(true);
        this->undoAfter(fault.duration, [&operators] { operators.setLastRouteDropped(false); });
        break;
    case FaultKind::RouteMoved:
        operators.setLastRouteMoved(true);
        this->undoAfter(fault.duration, [&operators] { operators.setLastRouteMoved(false); });
        break;
    case FaultKind::ConfigurationStorm:
        this->publishOften(fault);
        break;
    case FaultKind::Evacuation: {
        const std::string domain = this->randomDomain();
        operators.evacuate(domain, true);
        this->undoAfter(fault.duration,
                        [&operators, domain] { operators.evacuate(domain, false); });
        break;
    }
    case FaultKind::Burst:
        for (const auto &population : this->targets.populations)
            population->setPressure(internal::burstFactor);
        this->undoAfter(fault.duration, [this] {
            for (const auto &population : this->targets.populations)
                population->setPressure(1.0);
        });
        break;
    default:
        break;
    }
}

void FaultInjector::publishOften(const PlannedFault &fault)
{
    for (Duration at{}; at < fault.duration; at += internal::publishGap)
        this->undoAfter(at, [this] { this->targets.operators.publish(); });
}

void FaultInjector::disturbInstances(const std::string &domain, Duration duration)
{
    for (const auto &instance : this->targets.instances) {
        if (instance->member().domain == domain)
            this->disturbances().instance(instance->member().name, this->now() + duration);
    }
}

void FaultInjector::disturbUpstreams(const std::string &domain, Duration duration)
{
    for (const std::size_t number : this->targets.fleet.serving("")) {
        FleetMember &member = this->targets.fleet.member(number);
        if (member.entry.domain == domain)
            member.disturbedUntil = std::max(member.disturbedUntil, this->now() + duration);
    }
}

void FaultInjector::undoAfter(Duration duration, std::function<void()> undo)
{
    this->surroundings.loop.after(duration, std::move(undo));
}

std::vector<std::size_t> FaultInjector::sample(std::vector<std::size_t> all, double share)
{
    std::ranges::shuffle(all, this->surroundings.random);
    const auto wanted = static_cast<std::size_t>(
        std::ceil(static_cast<double>(all.size()) * std::clamp(share, 0.0, 1.0)));
    all.resize(std::min(wanted, all.size()));
    return all;
}

std::vector<std::size_t> FaultInjector::sampleInstances(double share)
{
    std::vector<std::size_t> all(this->targets.instances.size());
    std::iota(all.begin(), all.end(), std::size_t{0});
    return this->sample(std::move(all), share);
}

std::vector<std::size_t> FaultInjector::sampleUpstreams(double share)
{
    return this->sample(this->targets.fleet.serving(""), share);
}

const std::string &FaultInjector::randomDomain()
{
    return this->settings.domains.at(this->surroundings.random() % this->settings.domains.size());
}

} // namespace bulrushgap::simulation
