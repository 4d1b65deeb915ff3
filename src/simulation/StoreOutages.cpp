#include "simulation/StoreOutages.h"

#include <memory>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr double slowStoreFactor = 50.0;
constexpr double lostAnswerShare = 0.5;
constexpr int restoreAwayPart = 4; //!< The store is away for this part of the time.

} // namespace internal

void StoreOutages::apply(const PlannedFault &fault)
{
    StoreFaults &faults = this->context.surroundings.storeFaults;
    const TimePoint end = this->context.now() + fault.duration;
    switch (fault.kind) {
    case FaultKind::StoreSilent:
        this->failStore(fault.duration, StoreMode::Silent);
        break;
    case FaultKind::StoreReset:
        this->failStore(fault.duration, StoreMode::Reset);
        break;
    case FaultKind::StoreBusy:
        this->failStore(fault.duration, StoreMode::Busy);
        break;
    case FaultKind::StoreLapse:
        this->failStore(fault.duration, StoreMode::Reset);
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
    case FaultKind::StoreRestored:
        this->restoreFromCopy(fault);
        break;
    default:
        break;
    }
}

void StoreOutages::restoreFromCopy(const PlannedFault &fault)
{
    const Duration away = fault.duration / internal::restoreAwayPart;
    const auto copy = std::make_shared<StoreModel::Copy>(this->context.surroundings.store.copy());
    this->context.undoAfter(fault.duration - away, [this, away, copy] {
        this->failStore(away, StoreMode::Reset, [this, copy] {
            this->context.surroundings.store.restore(std::move(*copy));
            this->context.targets.fleet.onRegistryRestored();
            this->context.targets.operators.writeAgain();
        });
    });
}

void StoreOutages::failStore(Duration duration, StoreMode mode, std::function<void()> onReturn)
{
    StoreFaults &faults = this->context.surroundings.storeFaults;
    faults.mode = mode;
    this->context.surroundings.store.cutWatches();
    this->context.targets.fleet.setRegistryAway(true, false);
    this->context.disturbances().store(this->context.now() + duration);
    this->context.undoAfter(duration, [this, &faults, onReturn = std::move(onReturn)] {
        if (onReturn)
            onReturn();
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
