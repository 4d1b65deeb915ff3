#pragma once

#include "simulation/FaultContext.h"

#include <string>

namespace bulrushgap::simulation {

/** \brief Applies changes by operators, and bursts of callers. */
class OperatorChanges
{
public:
    explicit OperatorChanges(FaultContext &context)
        : context(context)
    {}

    /** \brief Applies a fault now; it ends by itself. */
    void apply(const PlannedFault &fault);

private:
    void publishOften(const PlannedFault &fault);

    FaultContext &context;
};

} // namespace bulrushgap::simulation
