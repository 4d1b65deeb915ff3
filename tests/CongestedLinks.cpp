#include "support/SimulatedRuns.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <string>

using namespace bulrushgap;
using namespace bulrushgap::simulation;
using namespace bulrushgap::test;
using namespace std::chrono_literals;

namespace {

/** Passage of a view message over a link that outlasts the timeout of any probe. */
constexpr std::uint64_t congestedMs = 300;

/** \returns a deployment in which an instance gets less than one request a second, and an update of
 * 2,000 upstreams of a domain fills the links of most instances. */
RunSettings manyWeakInstances()
{
    RunSettings settings;
    settings.domains = {"domain-1", "domain-2", "domain-3"};
    settings.instancesPerDomain = 40;
    settings.instanceLinks = {{3, {200}}, {37, {10}}};
    settings.services = {{"feed", 2'000, 2, 0.0}};
    RequestClass read;
    read.name = "read";
    read.route = *Endpoint::parse("198.18.0.1:80");
    read.service = "feed";
    read.keepsFlow = true;
    read.perSecond = 30;
    read.answerBytes = 1'000;
    read.deadline = 3s;
    settings.classes = {read};
    settings.length = 12s;
    return settings;
}

} // namespace

// Guards against instances that take a congested link of their own for the death of an upstream:
// the view update of a returning domain holds up answers and all probes, also those of references.
TEST_CASE("Flows outlast the view update of a returning domain", "[CongestedLinks]")
{
    const auto seed = GENERATE(range(1U, 4U));
    const std::vector<PlannedFault> faults{{FaultKind::DomainLost, 3s, 6s, 1.0, "domain-1"}};
    INFO("seed " << seed << '\n' << faultLines(faults));
    const RunReport report = simulate(manyWeakInstances(), faults, seed);
    INFO(report.toText());
    CHECK(report.counter("longest_passage_ms") >= congestedMs);
    CHECK(report.broken(Promise::NoFalseReset) == 0);
}
