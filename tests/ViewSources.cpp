#include "view/ViewSources.h"

#include <catch2/catch.hpp>

#include <map>
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

ViewSources settled(const std::string &name, const std::string &domain)
{
    ViewSources sources(name, domain);
    sources.onViewComplete();
    sources.update(deployment(), at(0));
    return sources;
}

} // namespace

// Guards against excessive load on the store when every instance of a large deployment reads it.
TEST_CASE("one instance of each domain reads from the store", "[ViewSources]")
{
    std::map<std::string, int> direct;
    for (const Member &member : deployment()) {
        const ViewSources sources = settled(member.name, member.domain);
        direct[member.domain] += sources.followsStore() ? 1 : 0;
        CHECK(sources.instancesInDomain() == 3);
        CHECK(sources.instances() == 6);
    }
    CHECK(direct == std::map<std::string, int>{{"a", 1}, {"b", 1}});
    CHECK(settled("a-3", "a").current() == peer(12));
}

// Guards against an instance that receives no updates although a source is available.
TEST_CASE("each failure selects the next source, and all are tried", "[ViewSources]")
{
    const std::string name = GENERATE("a-1", "a-2", "a-3");
    ViewSources sources = settled(name, "a");
    std::set<std::string> tried;
    for (int i = 0; i < 6; ++i) {
        const auto current = sources.current();
        tried.insert(current ? current->toString() : "store");
        sources.onSourceFailed(at(i));
    }
    CHECK(tried.contains("store"));
    // Instances that the store rejects receive changes through another domain.
    CHECK(tried.contains(peer(22).toString()));
}

// Guards against an instance that never returns from a fallback source.
TEST_CASE("the preferred source is tried again after a delay", "[ViewSources]")
{
    ViewSources sources = settled("a-3", "a");
    sources.onSourceFailed(at(10));
    const auto fallback = sources.current();
    sources.retryPreferred(at(12));
    CHECK(sources.current() == fallback);
    sources.retryPreferred(at(17));
    CHECK(sources.current() == peer(12));
}

// Guards against two instances that read only from each other and miss all changes.
TEST_CASE("an instance reads from the store after a request from another one", "[ViewSources]")
{
    ViewSources sources = settled("a-3", "a");
    CHECK_FALSE(sources.followsStore());
    sources.onPeerRequest(at(1));
    CHECK(sources.followsStore());
    sources.retryPreferred(at(9));
    CHECK(sources.followsStore());
    sources.retryPreferred(at(12));
    CHECK(sources.current() == peer(12));
}

// Guards against repeated requests that keep an instance at a store that is unavailable.
TEST_CASE("a request does not force an instance back to a store that just failed", "[ViewSources]")
{
    ViewSources sources = settled("a-3", "a");
    sources.onPeerRequest(at(1));
    sources.onSourceFailed(at(2));
    CHECK_FALSE(sources.followsStore());
    sources.onPeerRequest(at(3));
    CHECK_FALSE(sources.followsStore());
}

// Guards against a slow start that tries one dead peer after another.
TEST_CASE("a starting instance selects the store after one failure", "[ViewSources]")
{
    ViewSources sources("a-3", "a");
    CHECK(sources.followsStore());
    sources.update(deployment(), at(0));
    CHECK(sources.current() == peer(12));
    sources.onSourceFailed(at(0));
    CHECK(sources.followsStore());
}

// Guards against a cold upstream that all instances use at once: they must agree on the selection.
TEST_CASE("instances agree on who shares the budget of an upstream", "[ViewSources]")
{
    const unsigned count = GENERATE(1U, 2U, 4U);
    for (const std::string subject : {"u-1", "u-2", "u-3", "u-4"}) {
        unsigned selected = 0;
        for (const Member &member : deployment())
            selected += settled(member.name, member.domain).isSelected(subject, count) ? 1 : 0;
        CHECK(selected == count);
    }
}
