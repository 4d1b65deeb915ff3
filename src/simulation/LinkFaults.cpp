#include "simulation/LinkFaults.h"

namespace bulrushgap::simulation {

namespace internal {

constexpr double lossShare = 0.1;

} // namespace internal

void LinkFaults::apply(const PlannedFault &fault)
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
        this->context.surroundings.links.setLoss(internal::lossShare);
        for (const std::string &domain : this->context.settings.domains) {
            this->context.disturbInstances(domain, fault.duration);
            this->context.disturbUpstreams(domain, fault.duration);
        }
        this->context.undoAfter(fault.duration,
                                [this] { this->context.surroundings.links.setLoss(0.0); });
        break;
    default:
        break;
    }
}

void LinkFaults::partition(const PlannedFault &fault, void (Links::*cut)(const std::string &, bool))
{
    const std::string domain = this->context.domainOf(fault);
    (this->context.surroundings.links.*cut)(domain, true);
    this->context.disturbInstances(domain, fault.duration);
    this->context.disturbUpstreams(domain, fault.duration);
    this->context.undoAfter(fault.duration, [this, domain, cut] {
        (this->context.surroundings.links.*cut)(domain, false);
    });
}

void LinkFaults::loseDomain(const PlannedFault &fault)
{
    const std::string domain = this->context.domainOf(fault);
    UpstreamFleet &fleet = this->context.targets.fleet;
    for (const auto &instance : this->context.targets.instances) {
        if (instance->member().domain != domain)
            continue;
        instance->kill();
        this->context.surroundings.links.darken(instance->member().name, true);
        this->context.undoAfter(fault.duration, [this, machine = instance.get()] {
            this->context.surroundings.links.darken(machine->member().name, false);
            if (!machine->isRunning())
                machine->start(false);
        });
    }
    for (const std::size_t number : fleet.serving("")) {
        const balance::UpstreamEntry &entry = fleet.member(number).entry;
        if (entry.domain != domain)
            continue;
        fleet.crash(number);
        this->context.surroundings.links.darken(entry.name, true);
        this->context.undoAfter(fault.duration, [this, number, name = entry.name] {
            this->context.surroundings.links.darken(name, false);
            this->context.targets.fleet.restart(number);
        });
    }
    this->context.disturbInstances(domain, fault.duration);
    this->context.disturbUpstreams(domain, fault.duration);
}

} // namespace bulrushgap::simulation
