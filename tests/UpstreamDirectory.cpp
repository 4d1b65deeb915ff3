#include "directory/UpstreamDirectory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

RegistryEntry entry(const std::string &name, std::uint64_t revision,
                    UpstreamState state = UpstreamState::Ready,
                    const std::string &address = "10.0.0.1:80", std::int64_t started = 1)
{
    UpstreamEntry upstream;
    upstream.name = name;
    upstream.wireId = 1;
    upstream.address = *Endpoint::parse(address);
    upstream.service = "s1";
    upstream.domain = "yala";
    upstream.state = state;
    upstream.slots = 2;
    upstream.startedAtMs = started;
    return {upstream, revision};
}

void put(UpstreamDirectory &directory, const RegistryEntry &entry, TimePoint now)
{
    directory.update(std::vector<RegistryChange>{{entry.entry.name, entry.revision, entry.entry}},
                     now);
}

void remove(UpstreamDirectory &directory, const std::string &name, std::uint64_t revision,
            TimePoint now)
{
    directory.update(std::vector<RegistryChange>{{name, revision, std::nullopt}}, now);
}

std::vector<std::string> candidateNames(const UpstreamDirectory &directory)
{
    std::vector<std::string> names;
    for (const UpstreamIndex index : directory.candidates("s1"))
        names.push_back(directory.at(index).entry.name);
    std::ranges::sort(names);
    return names;
}

using Names = std::vector<std::string>;

} // namespace

// Guards against new flows to upstreams that shut down, and against loss of their existing flows.
TEST_CASE("a draining or removed upstream takes no new flows but stays known",
          "[UpstreamDirectory]")
{
    UpstreamDirectory directory({});
    const RegistryEntry other = entry("a-2", 6, UpstreamState::Ready, "10.0.0.2:80");
    directory.replaceAll(std::vector{entry("a-1", 5), other}, at(0));
    const std::uint32_t tag = directory.at(0).flowTag;
    put(directory, entry("a-1", 7, UpstreamState::Draining), at(10));
    CHECK(candidateNames(directory) == Names{"a-2"});
    remove(directory, "a-1", 8, at(20));
    CHECK(candidateNames(directory) == Names{"a-2"});
    CHECK(directory.findByTag(tag) == 0);
    CHECK_FALSE(directory.isReplaced(0));
}

// Guards against an old event that overwrites a newer one after a change of source.
TEST_CASE("an older event changes nothing", "[UpstreamDirectory]")
{
    UpstreamDirectory directory({});
    put(directory, entry("a-1", 9, UpstreamState::Draining), at(0));
    put(directory, entry("a-1", 8), at(10));
    CHECK(candidateNames(directory).empty());
    put(directory, entry("a-2", 12), at(10));
    remove(directory, "a-2", 11, at(20));
    CHECK(candidateNames(directory) == Names{"a-2"});
}

// Guards against a service without upstreams because entries expired during a store outage.
TEST_CASE("entries missing after an outage stay usable for a while", "[UpstreamDirectory]")
{
    const bool outage = GENERATE(true, false);
    UpstreamDirectory directory({});
    directory.replaceAll(std::vector{entry("a-1", 5), entry("a-2", 6)}, at(0));
    // The registry may have returned just before it was first read.
    CHECK(directory.completeFrom() == at(2'200));
    if (outage)
        directory.registryRecovered(at(5'000));
    CHECK(directory.completeFrom() == (outage ? at(7'200) : at(2'200)));
    directory.replaceAll(std::vector{entry("a-2", 6)}, at(5'001));
    CHECK(candidateNames(directory) == (outage ? Names{"a-1", "a-2"} : Names{"a-2"}));
    directory.expire(at(7'000));
    CHECK(candidateNames(directory) == (outage ? Names{"a-1", "a-2"} : Names{"a-2"}));
    // Entries still missing after the grace period are no longer usable.
    directory.expire(at(7'400));
    CHECK(candidateNames(directory) == Names{"a-2"});
}

// Guards against packets to an upstream whose address another upstream has taken over.
TEST_CASE("an upstream whose address another has is replaced", "[UpstreamDirectory]")
{
    UpstreamDirectory directory({});
    put(directory, entry("a-1", 5), at(0));
    remove(directory, "a-1", 6, at(10));
    put(directory, entry("a-2", 7), at(20));
    CHECK(directory.isReplaced(0));
    CHECK_FALSE(directory.isReplaced(1));
}

// Guards against health state kept from an earlier process with the same name.
TEST_CASE("a restart under the same name starts over", "[UpstreamDirectory]")
{
    std::vector<DirectoryChange::Kind> changes;
    UpstreamDirectory directory(
        [&](const DirectoryChange &change) { changes.push_back(change.kind); });
    put(directory, entry("a-1", 5), at(0));
    CHECK(directory.at(0).health.markSuspect(at(10)));
    put(directory, entry("a-1", 6, UpstreamState::Ready, "10.0.0.1:80", 2), at(20));
    CHECK(directory.at(0).health.liveness() == Liveness::Alive);
    CHECK(directory.size() == 1);
    CHECK(changes == std::vector{DirectoryChange::Kind::Added, DirectoryChange::Kind::Restarted});
}

// Guards against new flows into a failure domain that the operators have evacuated.
TEST_CASE("an evacuated domain has no candidates until it returns", "[UpstreamDirectory]")
{
    UpstreamDirectory directory({});
    put(directory, entry("a-1", 5), at(0));
    directory.setEvacuated("yala", true);
    CHECK(candidateNames(directory).empty());
    put(directory, entry("a-2", 6), at(10));
    CHECK(candidateNames(directory).empty());
    directory.setEvacuated("yala", false);
    CHECK(candidateNames(directory) == Names{"a-1", "a-2"});
}

// Guards against unbounded growth with the number of past upstreams, and against loss of flows
// because the index of their upstream was reused.
TEST_CASE("an upstream that left is forgotten after the longest flow", "[UpstreamDirectory]")
{
    constexpr int minuteMs = 60'000;
    UpstreamDirectory directory({});
    put(directory, entry("a-1", 5), at(0));
    const std::uint32_t tag = directory.at(0).flowTag;
    remove(directory, "a-1", 6, at(0));
    directory.at(0).openFlows = 1;
    directory.expire(at(4 * minuteMs));
    CHECK(directory.findByTag(tag) == 0);
    directory.at(0).openFlows = 0;
    directory.expire(at(4 * minuteMs));
    CHECK(directory.findByTag(tag) == noUpstream);
    for (unsigned i = 0; i < 20; ++i) {
        const int now = static_cast<int>(5 + 5 * i) * minuteMs;
        const std::string name = "b-" + std::to_string(i);
        put(directory, entry(name, 10 + 2 * i), at(now));
        CHECK(candidateNames(directory) == Names{name});
        remove(directory, name, 11 + 2 * i, at(now));
        directory.expire(at(now + 4 * minuteMs));
    }
    CHECK(directory.size() == 1);
}

// Guards against new flows to an upstream that drains or has left, since the store returned from a
// copy of before; and against an upstream that is lost with the copy, or stays out for good.
TEST_CASE("a copy of the registry revives no upstream at once", "[UpstreamDirectory]")
{
    constexpr auto ready = UpstreamState::Ready;
    constexpr auto draining = UpstreamState::Draining;
    const RegistryEntry copied = entry("a-1", 3);
    const RegistryEntry restarted = entry("a-1", 3, ready, "10.0.0.1:80", 2);
    struct Case
    {
        UpstreamState known;
        bool left; //!< Its entry was removed.
        std::optional<RegistryEntry> copy;
        bool eligible;      //!< Right after the copy was read.
        bool eligibleLater; //!< After the grace period.
    };
    const auto each = GENERATE_COPY(values<Case>({
        {ready, false, copied, true, true},
        {ready, false, std::nullopt, true, false},
        {draining, false, copied, false, true},
        {draining, false, restarted, true, true},
        {ready, true, copied, false, true},
        {ready, true, restarted, true, true},
        {draining, true, std::nullopt, false, false},
    }));
    UpstreamDirectory directory({});
    put(directory, entry("a-1", 8, each.known), at(0));
    if (each.left)
        remove(directory, "a-1", 9, at(10));
    directory.registryRecovered(at(100));
    std::vector<RegistryEntry> entries;
    if (each.copy)
        entries.push_back({each.copy->entry, {1, 3}});
    directory.replaceAll(entries, at(100), RegistryOrigin::Copy);
    CHECK(candidateNames(directory).size() == (each.eligible ? 1 : 0));
    const auto listed = directory.listedEntry(0);
    REQUIRE(listed.has_value() == each.copy.has_value());
    if (listed)
        CHECK(listed->entry == each.copy->entry);
    directory.expire(at(2'000));
    CHECK(candidateNames(directory).size() == (each.eligible ? 1 : 0));
    directory.expire(at(2'400));
    CHECK(candidateNames(directory).size() == (each.eligibleLater ? 1 : 0));
}

// Guards against an upstream that is kept out although it has written its entry again.
TEST_CASE("a change after the return from a copy counts at once", "[UpstreamDirectory]")
{
    const bool removed = GENERATE(false, true);
    UpstreamDirectory directory({});
    put(directory, entry("a-1", 8, UpstreamState::Draining), at(0));
    directory.registryRecovered(at(100));
    const RegistryEntry copied{entry("a-1", 3).entry, {1, 3}};
    directory.replaceAll(std::vector{copied}, at(100), RegistryOrigin::Copy);
    const std::optional<UpstreamEntry> next = removed ? std::nullopt : std::optional(copied.entry);
    directory.update(std::vector<RegistryChange>{{"a-1", {1, 4}, next}}, at(200));
    CHECK(candidateNames(directory).size() == (removed ? 0 : 1));
    directory.expire(at(2'400));
    CHECK(candidateNames(directory).size() == (removed ? 0 : 1));
}
