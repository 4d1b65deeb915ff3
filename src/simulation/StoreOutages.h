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
    /** \param onReturn called just before the store serves again; may be empty */
    void failStore(Duration duration, StoreMode mode, std::function<void()> onReturn = {});
    void restoreFromCopy(const PlannedFault &fault);
    void turnInstancesAway(const PlannedFault &fault);

    FaultContext &context;
};

} // namespace bulrushgap::simulation
