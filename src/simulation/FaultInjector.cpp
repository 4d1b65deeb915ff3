#include "simulation/FaultInjector.h"

namespace bulrushgap::simulation {

void FaultInjector::apply(const PlannedFault &fault)
{
    if (fault.kind <= FaultKind::AllInstancesLost)
        this->instances.apply(fault);
    else if (fault.kind <= FaultKind::ScaleIn)
        this->upstreams.apply(fault);
    else if (fault.kind <= FaultKind::Loss)
        this->links.apply(fault);
    else if (fault.kind <= FaultKind::StoreRestored)
        this->store.apply(fault);
    else
        this->operators.apply(fault);
}

} // namespace bulrushgap::simulation
