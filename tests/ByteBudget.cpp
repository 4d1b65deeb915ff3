#include "peer/ByteBudget.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;
using namespace std::chrono_literals;

// Guards against a control plane that exceeds its bytes per second over any longer time.
TEST_CASE("the budget holds rate and burst", "[ByteBudget]")
{
    const TimePoint start{};
    ByteBudget budget(1000, 500, start);
    std::size_t sent = 0;
    for (Duration elapsed{}; elapsed <= 10s; elapsed += 1ms) {
        while (budget.take(start + elapsed, 50))
            sent += 50;
    }
    CHECK(sent <= 10500);
    CHECK(sent >= 10400);
}

TEST_CASE("the delay tells when an amount can be taken", "[ByteBudget]")
{
    const TimePoint start{};
    ByteBudget budget(1000, 500, start);
    REQUIRE(budget.take(start, 500));
    CHECK_FALSE(budget.take(start, 100));
    CHECK(budget.delay(start, 100) == 100ms);
    CHECK_FALSE(budget.take(start + 99ms, 100));
    CHECK(budget.take(start + 100ms, 100));
}

// Guards against messages above the burst that would wait for ever.
TEST_CASE("a large amount is taken from a full bucket and leaves a debt", "[ByteBudget]")
{
    const TimePoint start{};
    ByteBudget budget(1000, 500, start);
    REQUIRE(budget.take(start, 1500));
    CHECK(budget.delay(start, 100) == 1100ms);
}

// Guards against bulk messages that leave nothing for heartbeats.
TEST_CASE("a reserve remains for those that need none", "[ByteBudget]")
{
    const TimePoint start{};
    ByteBudget budget(1000, 500, start);
    REQUIRE(budget.take(start, 300, 200));
    CHECK_FALSE(budget.take(start, 1, 200));
    CHECK(budget.take(start, 200));
}

// Guards against heartbeats that wait for the budget, and against heartbeats that do not count.
TEST_CASE("a charge goes through and leaves a debt", "[ByteBudget]")
{
    const TimePoint start{std::chrono::seconds(1)};
    ByteBudget budget(1000, 1000, start);
    REQUIRE(budget.take(start, 1000));
    budget.charge(start, 500);
    CHECK_FALSE(budget.take(start + std::chrono::milliseconds(500), 100));
    CHECK(budget.take(start + std::chrono::milliseconds(600), 100));
}
