#include "view/ViewSources.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::seconds;

namespace {

TimePoint at(int second)
{
    return TimePoint(std::chrono::hours(1) + seconds(second));
}

Endpoint peer(unsigned number)
{
    return Endpoint{0x0a000000U + number, 7720};
}

/** \returns two domains of three instances; a-2 and b-2 have the greatest capacity. */
std::vector<Member> deployment()
{
    return {{"a-1", "a", peer(11), 10}, {"a-2", "a", peer(12), 200}, {"a-3", "a", peer(13), 10},
            {"b-1", "b", peer(21), 10}, {"b-2", "b", peer(22), 200}, {"b-3", "b", peer(23), 10}};
}

/** \returns the sources of a member after its start. */
ViewSources settled(const std::vector<Member> &members, const std::string &name)
{
    const auto self = std::ranges::find(members, name, &Member::name);
    ViewSources sources(*self);
    sources.onViewComplete();
    sources.update(members, at(0));
    return sources;
}

ViewSources settled(const std::string &name)
{
    return settled(deployment(), name);
}

/** \returns one domain of \a count instances; the first \a strong of them have more capacity. */
std::vector<Member> largeDomain(unsigned count, unsigned strong)
{
    std::vector<Member> members;
    for (unsigned number = 0; number < count; ++number)
        members.push_back({"a-" + std::to_string(1'000 + number), "a", peer(number + 1),
                           number < strong ? 200U : 20U});
    return members;
}

} // namespace

// Guards against excessive load on the store when every instance of a large deployment reads it.
TEST_CASE("one instance of each domain reads from the store", "[ViewSources]")
{
    std::map<std::string, int> direct;
    for (const Member &member : deployment()) {
        const ViewSources sources = settled(member.name);
        direct[member.domain] += sources.followsStore() ? 1 : 0;
        CHECK(sources.instancesInDomain() == 3);
        CHECK(sources.instances() == 6);
    }
    CHECK(direct == std::map<std::string, int>{{"a", 1}, {"b", 1}});
    CHECK(settled("a-3").current().peer == peer(12));
}

// Guards against an instance that receives no updates although a source is available.
TEST_CASE("each failure selects the next source, and all are tried", "[ViewSources]")
{
    const std::string name = GENERATE("a-1", "a-2", "a-3");
    ViewSources sources = settled(name);
    std::set<std::string> tried;
    for (int i = 0; i < 6; ++i) {
        tried.insert(sources.current().toString());
        sources.onSourceFailed(at(i));
    }
    CHECK(tried.contains("store"));
    // Instances that the store rejects receive changes through another domain.
    CHECK(tried.contains(peer(22).toString()));
}

// Guards against an instance that never returns from a fallback source.
TEST_CASE("the preferred source is tried again after a delay", "[ViewSources]")
{
    ViewSources sources = settled("a-3");
    sources.onSourceFailed(at(10));
    const auto fallback = sources.current();
    sources.retryPreferred(at(12));
    CHECK(sources.current() == fallback);
    sources.retryPreferred(at(17));
    CHECK(sources.current().peer == peer(12));
}

// Guards against two instances that read only from each other and miss all changes.
TEST_CASE("an instance reads from the store once another one requires it", "[ViewSources]")
{
    ViewSources sources = settled("a-3");
    CHECK_FALSE(sources.followsStore());
    sources.onDirectRequest(at(1));
    CHECK(sources.followsStore());
    sources.retryPreferred(at(9));
    CHECK(sources.followsStore());
    sources.retryPreferred(at(12));
    CHECK(sources.current().peer == peer(12));
}

// Guards against repeated requests that keep an instance at a store that is unavailable.
TEST_CASE("a request does not force an instance back to a store that just failed", "[ViewSources]")
{
    ViewSources sources = settled("a-3");
    sources.onDirectRequest(at(1));
    sources.onSourceFailed(at(2));
    CHECK_FALSE(sources.followsStore());
    sources.onDirectRequest(at(3));
    CHECK_FALSE(sources.followsStore());
}

// Guards against a slow start that tries one dead peer after another.
TEST_CASE("a starting instance asks one instance of its domain and the store", "[ViewSources]")
{
    const unsigned count = GENERATE(3U, 60U);
    const std::vector<Member> members = largeDomain(count, 1);
    ViewSources sources(members.back());
    REQUIRE(sources.startPlan().order.size() == 1);
    CHECK(sources.startPlan().order[0].isStore());
    sources.update(members, at(0));
    const std::vector<ViewSource> order = sources.startPlan().order;
    REQUIRE(order.size() == 2);
    // The answers of the store fill the links when a large domain starts.
    const std::size_t store = count == 3U ? 0 : 1;
    CHECK(order[store].isStore());
    CHECK(order[1 - store].peer == peer(1));
}

// Guards against a first start at which each instance reads everything from the store.
TEST_CASE("at the first start an instance waits for its parent", "[ViewSources]")
{
    const std::string name = GENERATE("a-1", "a-2", "a-3");
    const std::vector<Member> members = deployment();
    ViewSources sources(*std::ranges::find(members, name, &Member::name), {}, true);
    sources.update(members, at(0));
    const std::vector<ViewSource> order = sources.startPlan().order;
    REQUIRE(!order.empty());
    CHECK(order[0] == sources.current());
    CHECK(std::ranges::any_of(order, &ViewSource::isStore));
}

// Guards against a cold upstream that all instances use at once: they must agree on the selection.
TEST_CASE("instances agree on who shares the budget of an upstream", "[ViewSources]")
{
    const unsigned count = GENERATE(1U, 2U, 4U);
    for (const std::string subject : {"u-1", "u-2", "u-3", "u-4"}) {
        unsigned selected = 0;
        for (const Member &member : deployment())
            selected += settled(member.name).isSelected(subject, count) ? 1 : 0;
        CHECK(selected == count);
    }
}

// Guards against two instances of a domain that place the trials of an upstream at the same time.
TEST_CASE("the instances of a domain rank differently for an upstream", "[ViewSources]")
{
    for (const std::string subject : {"u-1", "u-2", "u-3", "u-4"}) {
        std::map<std::string, std::set<unsigned>> ranks;
        std::map<std::string, unsigned> members;
        for (const Member &member : deployment()) {
            ranks[member.domain].insert(settled(member.name).rankInDomain(subject));
            ++members[member.domain];
        }
        for (const auto &[domain, count] : members) {
            CHECK(ranks[domain].size() == count);
            CHECK(*ranks[domain].rbegin() == count - 1);
        }
    }
}

// Guards against an instance whose load grows with the number of instances that read from it.
TEST_CASE("no instance has more than a fixed number of readers", "[ViewSources]")
{
    const unsigned count = GENERATE(1U, 2U, 6U, 30U, 75U, 300U);
    const std::vector<Member> members = largeDomain(count, 3);
    std::map<std::string, unsigned> readers;
    for (const Member &member : members)
        ++readers[settled(members, member.name).current().toString()];
    CHECK(readers["store"] == 1);
    for (const auto &[source, number] : readers)
        CHECK(number <= ViewSources::maxChildren);
}

// Guards against a loop of instances that read from each other: changes would never reach them.
TEST_CASE("instances with different member lists form no loop", "[ViewSources]")
{
    const unsigned seed = GENERATE(range(1U, 6U));
    constexpr unsigned count = 40;
    const std::vector<Member> members = largeDomain(count, 3);
    std::map<std::string, std::string> sourceOf;
    std::mt19937 random(seed);
    for (const Member &member : members) {
        std::vector<Member> known{member};
        for (const Member &other : members) {
            if (other != member && random() % 3 != 0)
                known.push_back(other);
        }
        ViewSources sources = settled(known, member.name);
        for (unsigned failures = random() % 3; failures > 0; --failures)
            sources.onSourceFailed(at(1));
        sourceOf[member.peer.toString()] = sources.current().toString();
    }
    for (const Member &member : members) {
        std::string source = member.peer.toString();
        for (unsigned hop = 0; hop < count && sourceOf.contains(source); ++hop)
            source = sourceOf[source];
        CHECK(source == "store");
    }
}

// Guards against a start that depends on the store although another instance has a view, and
// against one that asks itself.
TEST_CASE("a starting instance asks the store, then its seeds", "[ViewSources]")
{
    const std::vector<Endpoint> seeds{peer(1), peer(2), peer(13)};
    const ViewSources sources(Member{"a-3", "a", peer(13), 10}, seeds);
    const std::vector<ViewSource> order = sources.startPlan().order;
    REQUIRE(order.size() == 3);
    CHECK(order[0].isStore());
    CHECK(std::set<std::string>{order[1].toString(), order[2].toString()}
          == std::set<std::string>{peer(1).toString(), peer(2).toString()});
}

// Guards against a start that waits for the store again after a seed has answered before it.
TEST_CASE("a seed that has answered is asked before the store", "[ViewSources]")
{
    const ViewSource seed{peer(23), false, false};
    const std::vector<Endpoint> seeds{*seed.peer};
    ViewSources sources(Member{"a-3", "a", peer(13), 10}, seeds);
    sources.onStartAnswer(seed);
    sources.update(deployment(), at(0));
    const std::vector<ViewSource> order = sources.startPlan().order;
    REQUIRE(order.size() == 3);
    CHECK(order[0].peer == peer(12));
    CHECK(order[1] == seed);
    CHECK(order[2].isStore());
    // The seed is no lasting source: it would have more readers than any other instance.
    sources.onViewComplete();
    CHECK(sources.current().peer == peer(12));
}

// Guards against a domain that turns to the store as one when its root has lost it.
TEST_CASE("instances leave a source without a view one after the other", "[ViewSources]")
{
    const std::vector<Member> members = largeDomain(75, 3);
    const Duration second = settled(members, "a-1001").busyGracePeriod();
    const Duration last = settled(members, "a-1074").busyGracePeriod();
    CHECK(second < seconds(1));
    CHECK(last > seconds(3));
    // Of a domain of three, each follows within the time for a configuration to come into force.
    const ViewSources small = settled("a-3");
    CHECK(small.busyGracePeriod() + small.sourceLossGracePeriod() < seconds(2));
}
