#include "directory/UpstreamDirectory.h"

#include <catch2/catch.hpp>

#include <algorithm>
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

// Guards against new flows to upstreams that leave, and against flows that lose their upstream.
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

// Guards against an old event that undoes a newer one, after a change of source.
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

// Guards against an empty service when entries lapsed while the store was away.
TEST_CASE("entries missing after an outage stay usable for a while", "[UpstreamDirectory]")
{
    const bool outage = GENERATE(true, false);
    UpstreamDirectory directory({});
    directory.replaceAll(std::vector{entry("a-1", 5), entry("a-2", 6)}, at(0));
    if (outage)
        directory.registryReturned(at(5'000));
    directory.replaceAll(std::vector{entry("a-2", 6)}, at(5'001));
    CHECK(candidateNames(directory) == (outage ? Names{"a-1", "a-2"} : Names{"a-2"}));
    directory.expire(at(7'000));
    CHECK(candidateNames(directory) == (outage ? Names{"a-1", "a-2"} : Names{"a-2"}));
    // What is still missing then is gone.
    directory.expire(at(7'400));
    CHECK(candidateNames(directory) == Names{"a-2"});
}

// Guards against packets that wait for an upstream whose address another one has by now.
TEST_CASE("an upstream whose address another has is replaced", "[UpstreamDirectory]")
{
    UpstreamDirectory directory({});
    put(directory, entry("a-1", 5), at(0));
    remove(directory, "a-1", 6, at(10));
    put(directory, entry("a-2", 7), at(20));
    CHECK(directory.isReplaced(0));
    CHECK_FALSE(directory.isReplaced(1));
}

// Guards against beliefs about an earlier process under the same name.
TEST_CASE("a restart under the same name starts over", "[UpstreamDirectory]")
{
    std::vector<DirectoryChange::Kind> changes;
    UpstreamDirectory directory(
        [&](const DirectoryChange &change) { changes.push_back(change.kind); });
    put(directory, entry("a-1", 5), at(0));
    CHECK(directory.at(0).health.suspect(at(10)));
    put(directory, entry("a-1", 6, UpstreamState::Ready, "10.0.0.1:80", 2), at(20));
    CHECK(directory.at(0).health.liveness() == Liveness::Alive);
    CHECK(directory.size() == 1);
    CHECK(changes == std::vector{DirectoryChange::Kind::Added, DirectoryChange::Kind::Restarted});
}

// Guards against new flows into a failure domain that the operators have emptied.
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

// Guards against memory that grows with each upstream that ever was, and against flows that lose
// their upstream because its index was given to another.
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
