#include "support/SimulatedRuns.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::simulation;
using namespace bulrushgap::test;
using namespace std::chrono_literals;

namespace {

constexpr double servedWithoutFault = 0.997;

} // namespace

// Guards against requests that are lost although nothing is wrong.
TEST_CASE("A calm run serves its requests", "[SimulatedRun]")
{
    const bool steadyHash = GENERATE(false, true);
    RunSettings settings = sampleRunSettings(10s);
    settings.steadyHash = steadyHash;
    const RunReport report = simulate(settings, {}, 1);
    checkReport(report, settings);
    CHECK(report.total().servedShare() >= servedWithoutFault);
}

// Guards against faults that harm only while another one lasts.
TEST_CASE("Faults that overlap keep the promises", "[SimulatedRun]")
{
    const auto seed = GENERATE(range(1U, 13U));
    const RunSettings settings = sampleRunSettings(25s);
    const std::vector<PlannedFault> faults = randomFaults(settings, 5, seed);
    INFO("seed " << seed << '\n' << faultLines(faults));
    const RunReport report = simulate(settings, faults, seed);
    INFO(report.toText());
    CHECK(report.brokenTotal() == 0);
}

// Guards against the same trouble twice, the second before the first is over.
TEST_CASE("A fault that comes twice keeps the promises", "[SimulatedRun]")
{
    const auto kind
        = GENERATE(FaultKind::DomainCut, FaultKind::InstanceFreeze, FaultKind::StoreLapse,
                   FaultKind::UpstreamReborn, FaultKind::RouteDropped, FaultKind::StoreForgets);
    const RunSettings settings = sampleRunSettings(22s);
    const std::vector<PlannedFault> faults{
        {kind, faultStart, faultDuration, 0.4},
        {kind, faultStart + faultDuration / 2, faultDuration, 0.4}};
    INFO(faultLines(faults));
    checkReport(simulate(settings, faults, 7), settings);
}

// Guards against operators' writes that are lost, or written twice, around an outage: two writes
// that wait for the store and a third one as it returns used to end the run.
TEST_CASE("Operators' writes wait for the store", "[SimulatedRun]")
{
    const RunSettings settings = sampleRunSettings(20s);
    const std::vector<PlannedFault> faults{{FaultKind::StoreBusy, 3s, 4s, 1.0},
                                           {FaultKind::RouteMoved, 4s, 1s, 1.0},
                                           {FaultKind::ConfigurationStorm, 5s, 3s, 1.0}};
    checkReport(simulate(settings, faults, 1), settings);
}

// Guards against a model whose upstreams refuse no probe, or refuse probes without a limit.
TEST_CASE("Overloaded upstreams refuse probes beyond their limit", "[SimulatedRun]")
{
    const auto limit = GENERATE(0U, 10U);
    const std::vector<PlannedFault> faults{{FaultKind::Burst, faultStart, 6s, 1.0}};
    const RunReport report = simulate(overloadableRunSettings(limit), faults, 1);
    INFO(report.toText());
    CHECK((report.counter("probe_refused_by_overload") > 0) == (limit > 0));
}

// Guards against an input that the seed does not determine, which would make findings unrepeatable.
TEST_CASE("A run is determined by its seed", "[SimulatedRun]")
{
    const RunSettings settings = sampleRunSettings(8s);
    const std::vector<PlannedFault> faults = randomFaults(settings, 3, 5);
    const auto text = [&](std::uint64_t seed) {
        return boost::json::serialize(simulate(settings, faults, seed).toJson());
    };
    CHECK(text(5) == text(5));
    CHECK(text(5) != text(6));
}
