#pragma once

#include "simulation/InstanceFaults.h"
#include "simulation/LinkFaults.h"
#include "simulation/OperatorChanges.h"
#include "simulation/StoreOutages.h"
#include "simulation/UpstreamFaults.h"

namespace bulrushgap::simulation {

/** \brief Applies faults and takes them back, and tells the checks what was disturbed. */
class FaultInjector
{
public:
    FaultInjector(Surroundings &surroundings, const RunSettings &settings, FaultTargets targets)
        : context(surroundings, settings, targets)
    {}
    FaultInjector(const FaultInjector &) = delete;
    FaultInjector &operator=(const FaultInjector &) = delete;

    /** \brief Applies a fault now; it ends by itself. */
    void apply(const PlannedFault &fault);

private:
    FaultContext context;
    InstanceFaults instances{this->context};
    UpstreamFaults upstreams{this->context};
    LinkFaults links{this->context};
    StoreOutages store{this->context};
    OperatorChanges operators{this->context};
};

} // namespace bulrushgap::simulation
