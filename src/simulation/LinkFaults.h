#pragma once

#include "simulation/FaultContext.h"

#include <string>

namespace bulrushgap::simulation {

/** \brief Applies cuts, losses and the loss of a failure domain. */
class LinkFaults
{
public:
    explicit LinkFaults(FaultContext &context)
        : context(context)
    {}

    /** \brief Applies a fault now; it ends by itself. */
    void apply(const PlannedFault &fault);

private:
    void partition(const PlannedFault &fault, void (Links::*cut)(const std::string &, bool));
    void loseDomain(const PlannedFault &fault);

    FaultContext &context;
};

} // namespace bulrushgap::simulation
