#include "health/FailureDetector.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

// Guards against upstreams that count as warm after a loss of their domain, since only a few of
// them were probed: all may have restarted while the registry could not say so.
TEST_CASE("all upstreams of a domain that refused connections may return cold", "[DomainReturn]")
{
    constexpr UpstreamIndex inDomain = 6;
    UpstreamDirectory directory{{}};
    std::vector<RegistryEntry> entries;
    for (UpstreamIndex i = 0; i < inDomain + 2; ++i) {
        UpstreamEntry entry;
        entry.name = "u-" + std::to_string(i);
        entry.service = "s1";
        entry.domain = i < inDomain ? "b" : "a";
        entry.address = Endpoint{i + 1, 80};
        entries.push_back({entry, 1});
    }
    TimePoint now{std::chrono::hours(1)};
    directory.replaceAll(entries, now);
    bool refuses = true;
    bool lost = false;
    std::vector<std::pair<UpstreamIndex, bool>>
        probes; //!< Upstream, and whether it is a reference.
    std::set<UpstreamIndex> returned;
    FailureDetectorHooks hooks;
    hooks.startProbe = [&](UpstreamIndex upstream) {
        probes.emplace_back(upstream, false);
    };
    hooks.startReferenceProbe = [&](UpstreamIndex upstream) {
        probes.emplace_back(upstream, true);
    };
    hooks.onConfirmedDown = [](UpstreamIndex) {
    };
    hooks.onReturn = [&](UpstreamIndex upstream, const Outage &outage, TimePoint) {
        CHECK(outage.kind == Outage::Kind::Refused);
        returned.insert(upstream);
    };
    hooks.onReachabilityChange = [&](const ReachabilityChange &change) {
        lost = lost || change.unreachable;
        refuses = refuses && !change.unreachable;
    };
    FailureDetector detector(directory, hooks, "a");
    detector.expectAnswer(0, now, milliseconds(20));
    for (int step = 0; step < 400; ++step) {
        now += milliseconds(5);
        detector.tick(now);
        for (const auto &[upstream, isReference] : std::exchange(probes, {})) {
            const bool fails = refuses && upstream < inDomain;
            const ProbeResult result = fails ? ProbeResult::Refused : ProbeResult::Connected;
            if (isReference)
                detector.onReferenceResult(upstream, result, now, now);
            else
                detector.onProbeResult(upstream, result, now, now);
        }
    }
    REQUIRE(lost);
    CHECK(returned.size() == inDomain);
}
