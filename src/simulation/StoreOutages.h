#pragma once

#include "simulation/FaultContext.h"

#include <string>

namespace bulrushgap::simulation {

/** \brief Applies outages and misbehaviour of the store. */
class StoreOutages
{
public:
    explicit StoreOutages(FaultContext &context)
        : context(context)
    {}

    /** \brief Applies a fault now; it ends by itself. */
    void apply(const PlannedFault &fault);

private:
    void failStore(const PlannedFault &fault, StoreMode mode);
    void turnInstancesAway(const PlannedFault &fault);

    FaultContext &context;
};

} // namespace bulrushgap::simulation
