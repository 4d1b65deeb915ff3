#include "view/MalformedObjects.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;

namespace {

struct Reports
{
    Counters counters;
    std::vector<std::string> lines;
    Log log{LogOptions{1'000, {}, [this](LogLevel, const std::string &line) {
                           this->lines.push_back(line);
                       }}};
    MalformedObjects objects{this->counters, this->log};
};

ViewEvent malformed(const std::string &name, std::uint64_t revision)
{
    return {name, revision, MalformedObject{"addr", "an IPv4 address and a port"}};
}

ViewEvent valid(const std::string &name, std::uint64_t revision)
{
    return {name, revision, Evacuation{}};
}

} // namespace

// Guards against an entry that fills the log with each read of the list, and against one that is
// reported only the first time that it is malformed.
TEST_CASE("each revision of a malformed object is reported once", "[MalformedObjects]")
{
    struct Case
    {
        std::vector<ViewUpdate> updates;
        std::uint64_t expected;
    };
    const auto each = GENERATE(values<Case>({
        {{{true, 5, {valid("a", 4), malformed("b", 5)}}}, 1},
        {{{true, 5, {malformed("b", 5)}}, {true, 6, {malformed("b", 5), valid("a", 6)}}}, 1},
        {{{true, 5, {malformed("b", 5)}}, {false, 6, {malformed("b", 5)}}}, 1},
        {{{true, 5, {malformed("b", 5)}}, {false, 6, {malformed("b", 6)}}}, 2},
        {{{true, 5, {malformed("b", 5)}}, {true, 6, {malformed("b", 6)}}}, 2},
        {{{false, 5, {malformed("b", 5), malformed("c", 5)}}, {false, 5, {malformed("b", 5)}}}, 2},
        {{{true, 9, {malformed("", 9), malformed("", 5)}}, {true, 9, {malformed("", 5)}}}, 2},
        {{{false, 9, {malformed("", 9)}}, {false, 10, {malformed("", 10), malformed("", 9)}}}, 2},
        {{{true, 5, {malformed("b", 5)}}, {false, 6, {{"b", 6, std::nullopt}}}}, 1},
    }));
    const ViewKind kind = GENERATE(ViewKind::Upstreams, ViewKind::Configurations,
                                   ViewKind::Evacuations, ViewKind::Members);
    Reports reports;
    for (const ViewUpdate &update : each.updates)
        reports.objects.report(kind, update);
    CHECK(reports.counters.value("object_malformed") == each.expected);
    CHECK(reports.lines.size() == each.expected);
}

// Guards against log lines that don't lead to the faulty entry.
TEST_CASE("the report names object, revision and reason", "[MalformedObjects]")
{
    Reports reports;
    reports.objects.report(ViewKind::Upstreams, {true, 5, {malformed("i-7", 5)}});
    REQUIRE(reports.lines.size() == 1);
    CHECK(reports.lines[0].ends_with("event=object_malformed kind=upstreams name=i-7 revision=5 "
                                     "member=addr expected=\"an IPv4 address and a port\""));
}
