#include "admission/OutlierDetector.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bulrushgap;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1h};

/** \brief Upstreams 0, 1, ... in the failure domains that \a domains names by letter. */
std::vector<ObservedUpstream> upstreams(const std::string &domains)
{
    std::vector<ObservedUpstream> result;
    for (const char domain : domains)
        result.push_back({UpstreamId{static_cast<std::uint16_t>(result.size())},
                          DomainId{static_cast<std::uint16_t>(domain)}});
    return result;
}

} // namespace

// Guards against ejecting on too few misses, beyond a third of the upstreams, or by an instance
// that has lost its own network.
TEST_CASE("upstreams that miss deadlines are ejected within bounds", "[OutlierDetector]")
{
    // Events: a digit is a missed deadline of that upstream, a letter an answer (a is number 0).
    const auto [domains, size, ejectedElsewhere, events, ejected, networkFaults]
        = GENERATE(table<std::string, int, int, std::string, std::string, int>({
            {"xy", 14, 0, "00", "", 0},
            {"xy", 14, 0, "000", "0", 0},
            {"xy", 14, 0, "00a00", "", 0},
            {"xy", 14, 0, "000a", "", 0},
            {"xxxxxyyyyy", 14, 0, "000111222333555", "0123", 0},
            {"xxxxxyyyyy", 14, 3, "000111", "0", 0},
            {"xxyy", 4, 0, "000222", "0", 0},
            {"xxyy", 4, 1, "000", "", 0},
            {"xxyy", 2, 0, "000", "0", 0},
            {"x", 1, 0, "000", "", 0},
            {"xxy", 14, 0, "000111", "", 1},
            {"xxy", 14, 0, "000222111", "2", 1},
            {"xxy", 14, 0, "000b111a", "", 1},
            {"xxy", 14, 0, "000b111a1", "1", 1},
        }));
    CAPTURE(domains, size, events);
    Counters counters;
    OutlierDetector detector({}, counters);
    detector.setUpstreams(upstreams(domains), static_cast<std::size_t>(size),
                          static_cast<std::size_t>(ejectedElsewhere));
    for (const char event : events) {
        if (event >= 'a')
            detector.onAnswer(UpstreamId{static_cast<std::uint16_t>(event - 'a')});
        else
            detector.onMissedDeadline(UpstreamId{static_cast<std::uint16_t>(event - '0')}, start);
    }
    std::string found;
    for (std::size_t i = 0; i < domains.size(); ++i)
        if (detector.ejected(UpstreamId{static_cast<std::uint16_t>(i)}))
            found += std::to_string(i);
    REQUIRE(found == ejected);
    REQUIRE(counters.value("outlier_self_doubt") == static_cast<std::uint64_t>(networkFaults));
}

// Guards against probes that are too frequent, or that use non-idempotent requests too early.
TEST_CASE("an ejected upstream is probed at intervals", "[OutlierDetector]")
{
    const auto [idempotent, delay, due] = GENERATE(table<bool, Duration, bool>({
        {true, 999ms, false},
        {true, 1s, true},
        {false, 5999ms, false},
        {false, 6s, true},
    }));
    Counters counters;
    OutlierDetector detector({}, counters);
    const UpstreamId id{0};
    detector.setUpstreams(upstreams("xy"), 14, 0);
    for (int i = 0; i < 3; ++i)
        detector.onMissedDeadline(id, start);
    REQUIRE(detector.probeDue(id, idempotent, start + delay) == due);
    detector.onProbe(id, start + 1s);
    REQUIRE(detector.probeDue(id, idempotent, start + 1s + delay) == due);
    // A new plan does not reset the ejection.
    detector.setUpstreams(upstreams("xy"), 14, 0);
    REQUIRE(detector.ejected(id));
}
