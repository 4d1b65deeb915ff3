#include "support/SimulatedRuns.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;
using namespace bulrushgap::simulation;
using namespace bulrushgap::test;
using namespace std::chrono_literals;

// Guards against a kind of trouble that breaks a promise, or from which service does not return.
TEST_CASE("Each kind of fault keeps the promises and passes", "[SimulatedFaults]")
{
    const auto number = GENERATE(range(0U, static_cast<unsigned>(FaultKind::Count)));
    const auto kind = static_cast<FaultKind>(number);
    const RunSettings settings = sampleRunSettings(kind == FaultKind::AllInstancesLost ? 27s : 20s);
    const std::vector<PlannedFault> faults{{kind, faultStart, faultDuration, 0.4}};
    INFO(faultLines(faults));
    checkReport(simulate(settings, faults, number + 1), settings);
}
