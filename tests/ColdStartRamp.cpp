#include "admission/ColdStartRamp.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bulrushgap;
using namespace std::chrono_literals;

// Guards against a cold upstream that gets full load, and a warm one that never does.
TEST_CASE("an upstream earns its slots", "[ColdStartRamp]")
{
    // Answers: s success, l slow success, e error, c cold report, i idle time.
    const auto [weight, answers, limit, shown] = GENERATE(table<int, std::string, int, int>({
        {16, "", 1, 16},        {16, "s", 8, 16},
        {16, "sl", 1, 16},      {16, "sls", 8, 16},
        {16, "sll", 1, 2},      {16, "se", 1, 16},
        {16, "see", 1, 2},      {16, "e", 1, 2},
        {16, "ses", 8, 16},     {16, "sc", 1, 2},
        {16, "si", 1, 16},      {16, "sis", 8, 16},
        {2, "sss", 1, 2},       {2, "ssss", 2, 4},
        {2, "ssssssss", 4, 8},  {2, "ssssssssssss", 8, 16},
        {2, "ssssssssc", 1, 2}, {2, "scscscscscsc", 1, 2},
        {4, "s", 2, 4},         {1, "s", 1, 2},
    }));
    CAPTURE(weight, answers);
    TimePoint now{1h};
    ColdStartRamp ramp(static_cast<std::uint8_t>(weight));
    for (const char answer : answers) {
        if (answer == 's' || answer == 'l')
            ramp.onSuccess(answer == 's' ? 400ms : 401ms, 100ms, now);
        if (answer == 'e')
            ramp.onFault();
        if (answer == 'c')
            ramp.onReport({0, 0, false});
        if (answer == 'i')
            now += 1001ms;
    }
    REQUIRE(ramp.limit(8, now) == limit);
    REQUIRE(ramp.weight() == shown);
}
