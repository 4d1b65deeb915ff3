#include "service/Log.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace bulrushgap;

// Guards against values that split a line or inject another one.
TEST_CASE("values are quoted if necessary", "[Log]")
{
    const auto [value, text] = GENERATE(table<std::string, std::string>({
        {"12.0", "12.0"},
        {"", "\"\""},
        {"a b", "\"a b\""},
        {"a=b", "\"a=b\""},
        {"say \"x\"", "\"say \\\"x\\\"\""},
        {"a\nevent=b", "\"a\\x0aevent=b\""},
        {"ü", "ü"},
    }));
    REQUIRE(formatLogLine("plan_in_force", {{"id", value}, {"count", 3}})
            == "event=plan_in_force id=" + text + " count=3");
}

// Guards against a frequent event that fills the log or suppresses other events.
TEST_CASE("the line rate is limited per event name", "[Log]")
{
    TimePoint now{};
    std::vector<std::string> lines;
    LogOptions options;
    options.linesPerSecond = 2;
    options.clock = [&] {
        return now;
    };
    options.sink = [&](LogLevel, const std::string &line) {
        lines.push_back(line);
    };
    Log log("test", options);
    for (int i = 0; i < 5; ++i)
        log.warn("noisy", {{"i", i}});
    log.info("other");
    REQUIRE(lines == std::vector<std::string>{"event=noisy i=0", "event=noisy i=1", "event=other"});
    now += std::chrono::seconds(1);
    log.warn("noisy");
    REQUIRE(lines.back() == "event=noisy suppressed=3");
}
