#include "simulation/OperatorChanges.h"

namespace bulrushgap::simulation {

namespace internal {

constexpr double burstFactor = 3.0;
constexpr Duration publishGap = std::chrono::milliseconds(100);

} // namespace internal

void OperatorChanges::apply(const PlannedFault &fault)
{
    Operators &operators = this->context.targets.operators;
    switch (fault.kind) {
    case FaultKind::RouteDropped:
        operators.setLastRouteDropped(true);
        this->context.undoAfter(fault.duration,
                                [&operators] { operators.setLastRouteDropped(false); });
        break;
    case FaultKind::RouteMoved:
        operators.setLastRouteMoved(true);
        this->context.undoAfter(fault.duration,
                                [&operators] { operators.setLastRouteMoved(false); });
        break;
    case FaultKind::ConfigurationStorm:
        this->publishOften(fault);
        break;
    case FaultKind::Evacuation: {
        const std::string domain = this->context.domainOf(fault);
        operators.evacuate(domain, true);
        this->context.undoAfter(fault.duration,
                                [&operators, domain] { operators.evacuate(domain, false); });
        break;
    }
    case FaultKind::Burst:
        for (const auto &population : this->context.targets.populations)
            population->setPressure(internal::burstFactor);
        this->context.undoAfter(fault.duration, [this] {
            for (const auto &population : this->context.targets.populations)
                population->setPressure(1.0);
        });
        break;
    default:
        break;
    }
}

void OperatorChanges::publishOften(const PlannedFault &fault)
{
    for (Duration at{}; at < fault.duration; at += internal::publishGap)
        this->context.undoAfter(at, [this] { this->context.targets.operators.publish(); });
}

} // namespace bulrushgap::simulation
