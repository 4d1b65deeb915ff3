#include "admission/RetryBudget.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;
using namespace std::chrono_literals;

// Guards against retries that multiply the load while upstreams fail.
TEST_CASE("retries are limited to a fraction of recent successes", "[RetryBudget]")
{
    const auto [successes, wait, expected] = GENERATE(table<int, Duration, int>({
        {0, 0s, 2},
        {100, 0s, 12},
        {1000, 0s, 102},
        {1000, 10s, 38},
        {1000, 100s, 2},
    }));
    const TimePoint start{1h};
    RetryBudget budget;
    for (int i = 0; i < successes; ++i)
        budget.onSuccess(start);
    int retries = 0;
    while (retries < 2000 && budget.trySpend(start + wait))
        ++retries;
    REQUIRE(retries == expected);
    // Spent retries are regained only as they decay.
    REQUIRE_FALSE(budget.trySpend(start + wait + 10ms));
    REQUIRE(budget.trySpend(start + wait + 60s));
}
