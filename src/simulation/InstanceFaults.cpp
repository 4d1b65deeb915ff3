#include "simulation/InstanceFaults.h"

namespace bulrushgap::simulation {

namespace internal {

constexpr Duration stopGap = std::chrono::seconds(2); //!< Between instances that are stopped.
constexpr Duration restartDelay = std::chrono::milliseconds(300);

} // namespace internal

void InstanceFaults::apply(const PlannedFault &fault)
{
    switch (fault.kind) {
    case FaultKind::InstanceKill:
        this->killInstances(fault, fault.share);
        break;
    case FaultKind::AllInstancesLost:
        this->killInstances(fault, 1.0);
        break;
    case FaultKind::InstanceFreeze:
        for (const std::size_t index : this->context.sampleInstances(fault.share)) {
            SimulatedInstance &instance = *this->context.targets.instances[index];
            instance.freeze(fault.duration);
            this->context.disturbances().instance(instance.member().name,
                                                  this->context.now() + fault.duration);
        }
        break;
    case FaultKind::InstanceStop:
        this->stopInstances(fault);
        break;
    case FaultKind::InstanceIsolated:
        this->isolateInstances(fault, &Links::isolate);
        break;
    case FaultKind::InstanceWithoutStore:
        this->isolateInstances(fault, &Links::cutFromStore);
        break;
    default:
        break;
    }
}

void InstanceFaults::killInstances(const PlannedFault &fault, double share)
{
    for (const std::size_t index : this->context.sampleInstances(share)) {
        SimulatedInstance &instance = *this->context.targets.instances[index];
        instance.kill();
        this->context.disturbances().instance(instance.member().name,
                                              this->context.now() + fault.duration);
        this->context.undoAfter(fault.duration, [&instance] {
            if (!instance.isRunning())
                instance.start(false);
        });
    }
}

void InstanceFaults::stopInstances(const PlannedFault &fault)
{
    Duration at{};
    for (const std::size_t index : this->context.sampleInstances(fault.share)) {
        SimulatedInstance &instance = *this->context.targets.instances[index];
        this->context.undoAfter(at, [&instance] { instance.stop(); });
        this->context.undoAfter(at + internal::stopGap, [this, &instance] {
            this->context.undoAfter(internal::restartDelay, [&instance] {
                if (!instance.isRunning())
                    instance.start(false);
            });
        });
        at += internal::stopGap;
    }
}

void InstanceFaults::isolateInstances(const PlannedFault &fault,
                                      void (Links::*cut)(const std::string &, bool))
{
    for (const std::size_t index : this->context.sampleInstances(fault.share)) {
        const std::string name = this->context.targets.instances[index]->member().name;
        (this->context.surroundings.links.*cut)(name, true);
        this->context.disturbances().instance(name, this->context.now() + fault.duration);
        this->context.undoAfter(fault.duration, [this, name, cut] {
            (this->context.surroundings.links.*cut)(name, false);
        });
    }
}

} // namespace bulrushgap::simulation
