#pragma once

#include "simulation/Run.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushgap::test {

constexpr Duration faultStart = std::chrono::seconds(3);
constexpr Duration faultDuration = std::chrono::seconds(4);
constexpr double minServedShareAfterFault = 0.99; //!< Of requests after a fault.

/** \returns the settings of the sample deployment for a run of \a length. */
inline simulation::RunSettings sampleRunSettings(Duration length)
{
    simulation::RunSettings settings = simulation::sampleRun();
    settings.length = length;
    return settings;
}

/** \returns a deployment with 60 % of the load that it bears; in a burst, 180 %.
 * \param connectionLimit load from which on its upstreams refuse probes; 0 for no limit */
inline simulation::RunSettings overloadableRunSettings(unsigned connectionLimit)
{
    simulation::RunSettings settings = sampleRunSettings(std::chrono::seconds(12));
    settings.services = {{"dispatch", 5, 2, 0.0, connectionLimit}};
    settings.classes.resize(1);
    settings.classes[0].perSecond = 40;
    settings.classes[0].workTime = std::chrono::milliseconds(150);
    settings.classes[0].deadline = std::chrono::seconds(3);
    return settings;
}

inline simulation::RunReport simulate(const simulation::RunSettings &settings,
                                      const std::vector<simulation::PlannedFault> &faults,
                                      std::uint64_t seed)
{
    simulation::Run run(settings, faults, seed, {});
    return run.play();
}

inline std::string faultLines(const std::vector<simulation::PlannedFault> &faults)
{
    std::string lines;
    for (const simulation::PlannedFault &fault : faults)
        lines += fault.toString() + '\n';
    return lines;
}

/** \brief Checks that no guarantee was violated and that the last seconds were served. */
inline void checkReport(const simulation::RunReport &report,
                        const simulation::RunSettings &settings)
{
    constexpr std::int64_t tailSeconds = 3;
    INFO(report.toText());
    CHECK(report.brokenTotal() == 0);
    const auto end = std::chrono::duration_cast<std::chrono::seconds>(settings.length).count();
    const simulation::RequestCounts tail = report.between(end - tailSeconds, end);
    CHECK(tail.total() > 0);
    CHECK(tail.servedShare() >= minServedShareAfterFault);
}

} // namespace bulrushgap::test
