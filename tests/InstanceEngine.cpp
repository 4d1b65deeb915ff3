#include "support/CheckViolations.h"
#include "support/EngineCluster.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bulrushgap;
using namespace bulrushgap::test;
using namespace std::chrono_literals;

namespace {

void requireNoViolation(const EngineCluster &cluster)
{
    INFO(cluster.report());
    checkViolations(cluster.violations);
    CHECK(cluster.invariantCounters() == 0);
}

} // namespace

// Guards against a new scope that never gets a first plan or does not serve with it.
TEST_CASE("a scope starts from nothing and serves", "[InstanceEngine]")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    EngineCluster cluster({.seed = seed});
    REQUIRE(cluster.converge(10s));
    // Upstream slots count as used until the longest deadline has passed.
    cluster.run(6s);
    cluster.startTraffic();
    cluster.run(20s);
    requireNoViolation(cluster);
    INFO(cluster.report());
    const auto &outcomes = cluster.outcomes;
    CHECK(outcomes.flowPacketsServed > outcomes.flowPackets * 95 / 100);
    CHECK(outcomes.answered > outcomes.requests * 90 / 100);
    CHECK(outcomes.bookingsRun > 0);
}

// Guards against a new scope that delays or refuses its first requests although no request runs.
// Also checks the opposite: after all instances were lost, upstreams count as busy.
TEST_CASE("only a scope that has served before counts its upstreams as busy", "[InstanceEngine]")
{
    const auto seed = GENERATE(4U, 5U);
    EngineCluster cluster({.seed = seed});
    REQUIRE(cluster.converge(10s));
    cluster.startTraffic();
    cluster.run(4s);
    INFO(cluster.report());
    CHECK(cluster.outcomes.answered > cluster.outcomes.requests * 95 / 100);
    CHECK(cluster.counter("event/admission_takeover_unknown") == 0);
    requireNoViolation(cluster);
    for (std::size_t instance = 0; instance < cluster.instanceCount(); ++instance)
        cluster.kill(instance);
    cluster.run(1s);
    for (std::size_t instance = 0; instance < cluster.instanceCount(); ++instance)
        cluster.start(instance);
    cluster.run(8s);
    CHECK(cluster.counter("event/admission_takeover_unknown") > 0);
}

// Guards against moved flows and against new work for a draining upstream on planned changes.
TEST_CASE("planned changes break nothing", "[InstanceEngine]")
{
    const auto [name, seed] = GENERATE(table<std::string, unsigned>({
        {"drain", 11},
        {"join", 12},
        {"leave", 13},
        {"drain and replace", 14},
        {"takeout", 15},
    }));
    INFO(name);
    EngineCluster cluster({.seed = seed});
    REQUIRE(cluster.converge(10s));
    cluster.run(6s);
    cluster.startTraffic();
    cluster.run(5s);
    if (name == "drain" || name == "drain and replace")
        cluster.labelUpstream(cluster.upstreamName(0, 0, 0), "draining");
    if (name == "leave" || name == "drain and replace")
        cluster.stopGracefully(1);
    if (name == "join") {
        cluster.stopGracefully(2);
        cluster.run(20s);
        INFO(cluster.report());
        REQUIRE_FALSE(cluster.running(2));
        cluster.start(2);
    }
    if (name == "takeout") {
        cluster.labelDomain(1, "out");
        cluster.run(8s);
        cluster.labelDomain(1, "");
    }
    cluster.run(20s);
    REQUIRE(cluster.converge(5s));
    requireNoViolation(cluster);
}
