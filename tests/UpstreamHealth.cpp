#include "health/UpstreamHealth.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

UpstreamHealth suspected()
{
    UpstreamHealth health;
    health.expectAnswer(at(0), at(20));
    CHECK(health.checkOverdue(at(20)));
    return health;
}

} // namespace

// Guards against further new flows to an upstream whose answers are overdue.
TEST_CASE("an overdue answer makes an upstream suspect and asks for a probe", "[UpstreamHealth]")
{
    UpstreamHealth health;
    health.expectAnswer(at(0), at(20));
    CHECK_FALSE(health.checkOverdue(at(19)));
    CHECK(health.liveness() == Liveness::Alive);
    CHECK(health.checkOverdue(at(20)));
    CHECK(health.liveness() == Liveness::Suspect);
    CHECK(health.probeAt() == at(20));
}

// Guards against suspicion of upstreams that answer in time.
TEST_CASE("an answer in time keeps an upstream alive", "[UpstreamHealth]")
{
    UpstreamHealth health;
    health.expectAnswer(at(0), at(20));
    health.onAnswer(at(7));
    CHECK_FALSE(health.checkOverdue(at(500)));
    CHECK(health.liveness() == Liveness::Alive);
}

// Guards against resets of flows to a live upstream: a single lost probe does not confirm a
// failure.
TEST_CASE("what probes say of a suspect upstream", "[UpstreamHealth]")
{
    struct Case
    {
        std::vector<ProbeResult> results;
        Liveness after;
    };
    using enum ProbeResult;
    const auto test = GENERATE(values<Case>({
        {{Connected}, Liveness::Alive},
        {{Refused}, Liveness::Refusing},
        {{TimedOut}, Liveness::Suspect},
        {{TimedOut, TimedOut}, Liveness::Unreachable},
        {{TimedOut, Connected}, Liveness::Alive},
        {{TimedOut, Refused, TimedOut}, Liveness::Refusing},
        {{TimedOut, TimedOut, Connected}, Liveness::Alive},
    }));
    UpstreamHealth health = suspected();
    int now = 100;
    for (const ProbeResult result : test.results) {
        health.probeStarted(at(now));
        static_cast<void>(health.onProbeResult(result, at(now += 100)));
    }
    CHECK(health.liveness() == test.after);
}

// Guards against resets after a single refusal, which a restart of the upstream can cause.
TEST_CASE("two refusals in a row are proof, one is not", "[UpstreamHealth]")
{
    UpstreamHealth health = suspected();
    static_cast<void>(health.onProbeResult(ProbeResult::Refused, at(30)));
    CHECK_FALSE(health.isConfirmedDown());
    CHECK(health.onProbeResult(ProbeResult::Refused, at(130)));
    CHECK(health.isConfirmedDown());
    static_cast<void>(health.onProbeResult(ProbeResult::Connected, at(500)));
    CHECK_FALSE(health.isConfirmedDown());
}

// Guards against slow confirmation because the two probes run one after the other.
TEST_CASE("the second probe starts while the first is on its way", "[UpstreamHealth]")
{
    UpstreamHealth health = suspected();
    health.probeStarted(at(20));
    REQUIRE(health.probeAt());
    CHECK(*health.probeAt() < at(20) + milliseconds(100));
    health.probeStarted(*health.probeAt());
    CHECK_FALSE(health.probeAt());
}

// Guards against flapping of an upstream that accepts connections but answers no flow.
TEST_CASE("a probe ends only one suspicion until callers see answers again", "[UpstreamHealth]")
{
    UpstreamHealth health = suspected();
    CHECK(health.onProbeResult(ProbeResult::Connected, at(30)));
    CHECK(health.markSuspect(at(60)));
    CHECK_FALSE(health.onProbeResult(ProbeResult::Connected, at(70)));
    CHECK(health.liveness() == Liveness::Suspect);
    health.onAnswer(at(80));
    CHECK(health.liveness() == Liveness::Alive);
    CHECK(health.markSuspect(at(90)));
    CHECK(health.onProbeResult(ProbeResult::Connected, at(100)));
}

// Guards against suspicion of all upstreams after a pause of this process.
TEST_CASE("a pause excuses what was due, not what is sent after it", "[UpstreamHealth]")
{
    UpstreamHealth health;
    health.expectAnswer(at(0), at(20));
    health.cancelExpectedAnswer();
    CHECK_FALSE(health.checkOverdue(at(300)));
    health.expectAnswer(at(300), at(320));
    CHECK(health.checkOverdue(at(320)));
}
