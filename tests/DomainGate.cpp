#include "membership/DomainGate.h"

#include "membership/PauseDetector.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace bulrushgap;

namespace {

constexpr DomainId own{1};
constexpr DomainId other{2};

TimePoint at(int milliseconds)
{
    return TimePoint{std::chrono::milliseconds(milliseconds)};
}

struct HeartbeatAt
{
    int milliseconds = 0;
    std::uint64_t inForce = 0;
};

} // namespace

// Guards against packets to a failure domain that a newer, not yet received plan takes out, and
// against refusals on every plan change.
TEST_CASE("other domains are reachable while they send heartbeats with no newer plan",
          "[DomainGate]")
{
    const auto [heartbeats, now, reachable] = GENERATE(table<std::vector<HeartbeatAt>, int, bool>({
        {{}, 0, false},
        {{{0, 10}}, 2000, true},
        {{{0, 10}}, 2001, false},
        {{{0, 11}}, 0, false},
        {{{0, 10}, {500, 11}, {1000, 11}}, 2000, true},
        {{{0, 10}, {500, 11}, {1000, 11}}, 2001, false},
        {{{0, 11}, {500, 9}}, 2400, true},
    }));
    Plan plan;
    plan.id = {10, 0, 0};
    plan.domains = {{own, "own", false}, {other, "other", false}};
    DomainGate gate(own);
    gate.onPlanInForce(plan);
    for (const HeartbeatAt &heartbeat : heartbeats)
        gate.onHeartbeat(other, {heartbeat.inForce, 0, 0}, at(heartbeat.milliseconds));
    REQUIRE(gate.mayReach(other, at(now)) == reachable);
    REQUIRE(gate.mayReach(own, at(now)));
    if (!reachable)
        REQUIRE(gate.refusal(other, at(now)) == RefusalReason::DomainUnreachable);

    plan.id = {11, 0, 0};
    plan.domains[0].out = true;
    plan.domains[1].out = true;
    gate.onPlanInForce(plan);
    REQUIRE(gate.refusal(own, at(now)) == RefusalReason::DomainOut);
    REQUIRE(gate.refusal(other, at(now)) == RefusalReason::DomainOut);
}

// Guards against a resumed instance that acts on a view from before its pause.
TEST_CASE("a pause makes the view stale until a plan id is received", "[DomainGate]")
{
    PauseDetector detector(std::chrono::milliseconds(100), std::chrono::seconds(1));
    REQUIRE_FALSE(detector.tick(at(0)));
    REQUIRE_FALSE(detector.tick(at(1100)));
    REQUIRE_FALSE(detector.stale());
    // Received at the end of the pause, before the tick: may have been buffered.
    detector.onPlanIdReceived(at(2201));
    REQUIRE(detector.tick(at(2201)) == std::optional<Duration>(std::chrono::milliseconds(1001)));
    REQUIRE(detector.stale());
    detector.onPlanIdReceived(at(2202));
    REQUIRE_FALSE(detector.stale());
}
