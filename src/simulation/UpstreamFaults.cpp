#include "simulation/UpstreamFaults.h"

#include <algorithm>

namespace bulrushgap::simulation {

namespace internal {

constexpr double slowUpstreamFactor = 5.0;
constexpr double hangingShare = 0.5;
constexpr Duration restartDelay = std::chrono::milliseconds(300);
constexpr Duration releaseGap = std::chrono::milliseconds(800);

} // namespace internal

void UpstreamFaults::apply(const PlannedFault &fault)
{
    UpstreamFleet &fleet = this->context.targets.fleet;
    const auto disturb = [&](std::size_t number) {
        fleet.member(number).disturbedUntil = this->context.now() + fault.duration;
    };
    switch (fault.kind) {
    case FaultKind::UpstreamCrash:
        for (const std::size_t number : this->context.sampleUpstreams(fault.share)) {
            fleet.crash(number);
            this->context.undoAfter(fault.duration, [&fleet, number] { fleet.restart(number); });
        }
        break;
    case FaultKind::UpstreamDark:
        this->darkenUpstreams(fault);
        break;
    case FaultKind::UpstreamReborn:
        for (const std::size_t number : this->context.sampleUpstreams(fault.share)) {
            fleet.crash(number);
            this->context.undoAfter(internal::restartDelay,
                                    [&fleet, number] { fleet.restart(number); });
        }
        break;
    case FaultKind::UpstreamSlow:
        for (const std::size_t number : this->context.sampleUpstreams(fault.share)) {
            disturb(number);
            fleet.member(number).model->setSlowness(internal::slowUpstreamFactor);
            this->context.undoAfter(fault.duration, [&fleet, number] {
                if (fleet.member(number).model)
                    fleet.member(number).model->setSlowness(1.0);
            });
        }
        break;
    case FaultKind::UpstreamHang:
        for (const std::size_t number : this->context.sampleUpstreams(fault.share)) {
            disturb(number);
            fleet.member(number).model->setHangShare(internal::hangingShare);
            this->context.undoAfter(fault.duration, [&fleet, number] {
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
        for (const std::size_t number : this->context.sampleUpstreams(fault.share)) {
            const balance::UpstreamEntry &entry = fleet.member(number).entry;
            (void)fleet.add(std::string(entry.service), std::string(entry.domain), true);
        }
        break;
    case FaultKind::ScaleIn:
        for (const std::size_t number : this->context.sampleUpstreams(fault.share))
            fleet.drain(number);
        break;
    default:
        break;
    }
}

void UpstreamFaults::darkenUpstreams(const PlannedFault &fault)
{
    UpstreamFleet &fleet = this->context.targets.fleet;
    for (const std::size_t number : this->context.sampleUpstreams(fault.share)) {
        const std::string name = fleet.member(number).entry.name;
        fleet.crash(number);
        this->context.surroundings.links.darken(name, true);
        this->context.undoAfter(fault.duration, [this, name, number] {
            this->context.surroundings.links.darken(name, false);
            this->context.targets.fleet.restart(number);
        });
    }
}

void UpstreamFaults::reuseAddresses(const PlannedFault &fault)
{
    UpstreamFleet &fleet = this->context.targets.fleet;
    for (const std::size_t number : this->context.sampleUpstreams(fault.share)) {
        const balance::UpstreamEntry gone = fleet.member(number).entry;
        fleet.crash(number);
        this->context.undoAfter(internal::restartDelay, [this, gone] {
            const auto &services = this->context.settings.services;
            const auto other = std::ranges::find_if(
                services, [&](const ServiceSettings &each) { return each.name != gone.service; });
            if (other != services.end())
                (void)this->context.targets.fleet.add(other->name, gone.domain, true, gone.address);
        });
        // The service keeps its size.
        (void)fleet.add(gone.service, gone.domain, true);
    }
}

void UpstreamFaults::replaceUpstreams(const PlannedFault &fault)
{
    Duration at{};
    for (const std::size_t number : this->context.sampleUpstreams(fault.share)) {
        this->context.undoAfter(at, [this, number] {
            UpstreamFleet &fleet = this->context.targets.fleet;
            const balance::UpstreamEntry old = fleet.member(number).entry;
            (void)fleet.add(old.service, old.domain, true);
            fleet.drain(number);
        });
        at += internal::releaseGap;
    }
}

} // namespace bulrushgap::simulation
