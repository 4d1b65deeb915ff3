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

/** \brief What the kinds of fault share: targets, random choice, the end of a fault, and what the
 * checks have to know of it. */
struct FaultContext
{
    FaultContext(Surroundings &surroundings, const RunSettings &settings, FaultTargets targets);

    /** \brief The instances of a failure domain are disturbed for a while from now on. */
    void disturbInstances(const std::string &domain, Duration duration);
    void disturbUpstreams(const std::string &domain, Duration duration);

    void undoAfter(Duration duration, std::function<void()> undo);

    /** \returns a random choice of a share, rounded up. */
    [[nodiscard]] std::vector<std::size_t> sample(std::vector<std::size_t> all, double share);
    [[nodiscard]] std::vector<std::size_t> sampleInstances(double share);
    [[nodiscard]] std::vector<std::size_t> sampleUpstreams(double share);
    [[nodiscard]] const std::string &randomDomain();

    /** \returns the domain of a fault, or a random one if it names none. */
    [[nodiscard]] const std::string &domainOf(const PlannedFault &fault);

    [[nodiscard]] TimePoint now() const { return this->surroundings.loop.now(); }
    [[nodiscard]] Disturbances &disturbances() { return this->targets.checks.disturbances(); }

    Surroundings &surroundings;
    const RunSettings &settings;
    FaultTargets targets;
};

} // namespace bulrushgap::simulation
