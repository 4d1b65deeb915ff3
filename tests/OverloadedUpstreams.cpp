#include "support/SimulatedRuns.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;
using namespace bulrushgap::simulation;
using namespace bulrushgap::test;
using namespace std::chrono_literals;

// Guards against instances that take the refusals of overloaded upstreams for their death.
TEST_CASE("Flows outlast the overload of their upstreams", "[OverloadedUpstreams]")
{
    constexpr unsigned connectionLimit = 10;
    const auto seed = GENERATE(range(1U, 5U));
    const std::vector<PlannedFault> faults{{FaultKind::Burst, faultStart, 6s, 1.0}};
    INFO("seed " << seed << '\n' << faultLines(faults));
    const RunReport report = simulate(overloadableRunSettings(connectionLimit), faults, seed);
    INFO(report.toText());
    CHECK(report.counter("probe_refused_by_overload") > 0);
    CHECK(report.broken(Promise::NoFalseReset) == 0);
}
