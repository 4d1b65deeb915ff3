#include "admission/ColdStartRamp.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bulrushgap;
using namespace std::chrono_literals;

// Guards against a cold upstream that receives full load, and a warm one that never does.
TEST_CASE("successes raise the limit of an upstream and faults lower it", "[ColdStartRamp]")
{
    // Events: s success, l slow success, e error, c report without the warm flag, i idle time.
    const auto [weight, events, expectedLimit, expectedWeight]
        = GENERATE(table<int, std::string, int, int>({
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
    CAPTURE(weight, events);
    TimePoint now{1h};
    ColdStartRamp ramp(static_cast<std::uint8_t>(weight));
    for (const char event : events) {
        if (event == 's' || event == 'l')
            ramp.onSuccess(event == 's' ? 400ms : 401ms, 100ms, now);
        if (event == 'e')
            ramp.onFault();
        if (event == 'c')
            ramp.onReport({0, 0, false});
        if (event == 'i')
            now += 1001ms;
    }
    REQUIRE(ramp.limit(8, now) == expectedLimit);
    REQUIRE(ramp.weight() == expectedWeight);
}
