#pragma once

#include "simulation/CallerPopulation.h"
#include "simulation/FaultSettings.h"
#include "simulation/Operators.h"
#include "simulation/SimulatedInstance.h"
#include "simulation/UpstreamFleet.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace bulrushgap::simulation {

/** \brief What faults act on. */
struct FaultTargets
{
    std::span<const std::unique_ptr<SimulatedInstance>> instances;
    std::span<const std::unique_ptr<CallerPopulation>> populations;
    UpstreamFleet &fleet;
    Operators &operators;
    PromiseChecks &checks;
};

/** \brief Applies faults and takes them back, and tells the checks what was disturbed. */
class FaultInjector
{
public:
    FaultInjector(Surroundings &surroundings, const RunSettings &settings, FaultTargets targets);

    /** \brief Applies a fault now; it ends by itself. */
    void apply(const PlannedFault &fault);

private:
    void applyToInstances(const PlannedFault &fault);
    void applyToUpstreams(const PlannedFault &fault);
    void applyToLinks(const PlannedFault &fault);
    void applyToStore(const PlannedFault &fault);
    void applyToOperators(const PlannedFault &fault);

    void killInstances(const PlannedFault &fault, double share);
    void stopInstances(const PlannedFault &fault);
    void isolateInstances(const PlannedFault &fault, void (Links::*cut)(const std::string &, bool));
    void darkenUpstreams(const PlannedFault &fault);
    void reuseAddresses(const PlannedFault &fault);
    void replaceUpstreams(const PlannedFault &fault);
    void partition(const PlannedFault &fault, void (Links::*cut)(const std::string &, bool));
    void loseDomain(const PlannedFault &fault);
    void failStore(const PlannedFault &fault, StoreMode mode);
    void turnInstancesAway(const PlannedFault &fault);
    void publishOften(const PlannedFault &fault);

    void disturbInstances(const std::string &domain, Duration duration);
    void disturbUpstreams(const std::string &domain, Duration duration);
    void undoAfter(Duration duration, std::function<void()> undo);
    [[nodiscard]] std::vector<std::size_t> sample(std::vector<std::size_t> all, double share);
    [[nodiscard]] std::vector<std::size_t> sampleInstances(double share);
    [[nodiscard]] std::vector<std::size_t> sampleUpstreams(double share);
    [[nodiscard]] const std::string &randomDomain();
    [[nodiscard]] TimePoint now() const { return this->surroundings.loop.now(); }
    [[nodiscard]] Disturbances &disturbances() { return this->targets.checks.disturbances(); }

    Surroundings &surroundings;
    const RunSettings &settings;
    FaultTargets targets;
};

} // namespace bulrushgap::simulation
