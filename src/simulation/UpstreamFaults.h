#pragma once

#include "simulation/FaultContext.h"

#include <string>

namespace bulrushgap::simulation {

/** \brief Applies faults and planned changes of upstreams. */
class UpstreamFaults
{
public:
    explicit UpstreamFaults(FaultContext &context)
        : context(context)
    {}

    /** \brief Applies a fault now; it ends by itself. */
    void apply(const PlannedFault &fault);

private:
    void darkenUpstreams(const PlannedFault &fault);
    void reuseAddresses(const PlannedFault &fault);
    void replaceUpstreams(const PlannedFault &fault);

    FaultContext &context;
};

} // namespace bulrushgap::simulation
