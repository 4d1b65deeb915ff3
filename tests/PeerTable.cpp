#include "membership/PeerTable.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace bulrushgap;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint{std::chrono::milliseconds(milliseconds)};
}

Hello hello(const char *name, std::uint64_t bootId)
{
    return {peerProtocolVersion, "d", "main", name, "north", bootId, "1.1.1.1:1", "1.1.1.1:2"};
}

Heartbeat heartbeat(std::uint64_t inForce, std::uint64_t newest)
{
    return {{inForce, 0, 0}, {newest, 0, 0}, false, true, {}};
}

} // namespace

// Guards against peers that stay listed after their timeout, and against state of an earlier boot.
TEST_CASE("liveness depends on messages and boots", "[PeerTable]")
{
    Counters counters;
    PeerTable table(counters);
    REQUIRE(table.onHello(hello("b", 1), at(0)) == PeerTable::HelloResult::New);
    REQUIRE(table.onHello(hello("b", 1), at(10)) == PeerTable::HelloResult::Known);
    table.onHeartbeat("b", heartbeat(3, 4), at(20));
    table.onHeartbeat("unknown", heartbeat(3, 4), at(20));
    REQUIRE(table.livePeers(at(1019)).size() == 1);
    REQUIRE(table.livePeers(at(1019)).front().bootId == 1);
    REQUIRE(table.takeDeadPeers(at(1019)).empty());
    REQUIRE(table.livePeers(at(1020)).empty());
    REQUIRE(table.reachableDomains(at(1020)).empty());
    REQUIRE(table.takeDeadPeers(at(1020)) == std::vector<std::string>{"b"});
    REQUIRE(table.takeDeadPeers(at(1021)).empty());
    table.onMessage("b", at(1100));
    REQUIRE(table.isLive("b", at(1101)));
    REQUIRE(table.newestPlan(at(1101)) == PlanId{4, 0, 0});
    REQUIRE(table.onHello(hello("b", 2), at(1200)) == PeerTable::HelloResult::Restarted);
    REQUIRE_FALSE(table.find("b")->heartbeat);
    REQUIRE(counters.value("peer_returned") == 1);
    REQUIRE(table.takeDeadPeers(at(9000000)).size() == 1);
    REQUIRE(table.find("b") == nullptr);
}

// Guards against a plan that is reported as in force although an instance has not applied it.
TEST_CASE("convergence reports the progress of each instance", "[PeerTable]")
{
    const auto [inForce, newest, now, progress]
        = GENERATE(table<std::optional<std::uint64_t>, std::uint64_t, int, PlanProgress>({
            {7, 7, 0, PlanProgress::InForce},
            {8, 8, 0, PlanProgress::InForce},
            {6, 7, 0, PlanProgress::Preparing},
            {6, 6, 0, PlanProgress::Behind},
            {7, 7, 1000, PlanProgress::Silent},
            {std::nullopt, 0, 0, PlanProgress::Unknown},
        }));
    Counters counters;
    PeerTable table(counters);
    Plan plan;
    plan.instances
        = {{InstanceId{1}, "a", {}, {}, {}, 0, false}, {InstanceId{2}, "b", {}, {}, {}, 0, false}};
    table.onPlan(plan);
    if (inForce) {
        table.onHello(hello("b", 1), at(0));
        table.onHeartbeat("b", heartbeat(*inForce, newest), at(0));
    }
    const auto report = table.convergence({7, 0, 0}, "a", at(now));
    REQUIRE(report == std::vector<InstanceProgress>{{"b", {inForce.value_or(0), 0, 0}, progress}});
    REQUIRE(table.idOf("b") == InstanceId{2});
    REQUIRE(table.nameOf(InstanceId{2}) == "b");
    REQUIRE((table.find(InstanceId{2}) != nullptr) == inForce.has_value());
    REQUIRE(table.find(InstanceId{3}) == nullptr);
}
