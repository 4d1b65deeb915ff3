#pragma once

#include "simulation/FaultContext.h"

#include <string>

namespace bulrushgap::simulation {

/** \brief Applies faults of instances. */
class InstanceFaults
{
public:
    explicit InstanceFaults(FaultContext &context)
        : context(context)
    {}

    /** \brief Applies a fault now; it ends by itself. */
    void apply(const PlannedFault &fault);

private:
    void killInstances(const PlannedFault &fault, double share);
    void stopInstances(const PlannedFault &fault);
    void isolateInstances(const PlannedFault &fault, void (Links::*cut)(const std::string &, bool));

    FaultContext &context;
};

} // namespace bulrushgap::simulation
