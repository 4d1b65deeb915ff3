#include "simulation/StoreOutages.h"

namespace bulrushgap::simulation {

namespace internal {

constexpr double slowStoreFactor = 50.0;
constexpr double lostAnswerShare = 0.5;

} // namespace internal

void StoreOutages::apply(const PlannedFault &fault)
{
    StoreFaults &faults = this->context.surroundings.storeFaults;
    const TimePoint end = this->context.now() + fault.duration;
    switch (fault.kind) {
    case FaultKind::StoreSilent:
        this->failStore(fault, StoreMode::Silent);
        break;
    case FaultKind::StoreReset:
        this->failStore(fault, StoreMode::Reset);
        break;
    case FaultKind::StoreBusy:
        this->failStore(fault, StoreMode::Busy);
        break;
    case FaultKind::StoreLapse:
        this->failStore(fault, StoreMode::Reset);
        this->context.targets.fleet.setRegistryAway(true, true);
        break;
    case FaultKind::StoreRefuses:
        this->turnInstancesAway(fault);
        break;
    case FaultKind::StoreSlow:
        faults.slowness = internal::slowStoreFactor;
        this->context.disturbances().store(end);
        this->context.undoAfter(fault.duration, [&faults] { faults.slowness = 1.0; });
        break;
    case FaultKind::StoreLosesAnswers:
        faults.lostWrites = internal::lostAnswerShare;
        this->context.disturbances().store(end);
        this->context.undoAfter(fault.duration, [&faults] { faults.lostWrites = 0.0; });
        break;
    case FaultKind::StoreForgets:
        this->context.surroundings.store.forgetHistory();
        this->context.disturbances().store(this->context.now());
        break;
    default:
        break;
    }
}

void StoreOutages::failStore(const PlannedFault &fault, StoreMode mode)
{
    StoreFaults &faults = this->context.surroundings.storeFaults;
    faults.mode = mode;
    this->context.surroundings.store.cutWatches();
    this->context.targets.fleet.setRegistryAway(true, false);
    this->context.disturbances().store(this->context.now() + fault.duration);
    this->context.undoAfter(fault.duration, [this, &faults] {
        faults.mode = StoreMode::Serving;
        this->context.targets.fleet.setRegistryAway(false, false);
    });
}

void StoreOutages::turnInstancesAway(const PlannedFault &fault)
{
    StoreFaults &faults = this->context.surroundings.storeFaults;
    faults.mode = StoreMode::TooMany;
    for (const std::size_t index : this->context.sampleInstances(fault.share)) {
        const std::string &name = this->context.targets.instances[index]->member().name;
        faults.only.insert(name);
        this->context.disturbances().instance(name, this->context.now() + fault.duration);
    }
    this->context.undoAfter(fault.duration, [&faults] {
        faults.mode = StoreMode::Serving;
        faults.only.clear();
    });
}

} // namespace bulrushgap::simulation
