#include "view/ViewFollower.h"

#include "Loopback.h"
#include "service/AsioScheduler.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

using namespace bulrushgap;
using namespace bulrushgap::balance;

namespace {

const Endpoint route{0xc6120001, 443};

ViewObject configuration(std::uint64_t version)
{
    Configuration result;
    result.version = version;
    result.routes = {{"r", route, {{"s", 1}}}};
    return std::make_shared<const Configuration>(std::move(result));
}

ViewObject upstream(const std::string &name)
{
    UpstreamEntry entry;
    entry.name = name;
    entry.wireId = 7;
    entry.address = Endpoint{0x0a000001, 80};
    entry.service = "s";
    entry.domain = "a";
    return entry;
}

ViewObject malformed()
{
    return MalformedObject{"x", "readable JSON: too deep"};
}

/** \brief A store whose events the test adds; its watches wait for them. */
class ScriptedSource : public ObjectSource, public MemberStore
{
public:
    explicit ScriptedSource(boost::asio::io_context &context)
        : context(context)
    {}

    void list(ViewKind kind, ListHandler handler) override
    {
        boost::asio::post(this->context, [list = this->lists[kind], handler = std::move(handler)] {
            handler(list);
        });
    }

    void watchFor(ViewKind kind, std::uint64_t /*since*/, std::chrono::milliseconds /*wait*/,
                  WatchHandler handler) override
    {
        this->waiting[kind] = std::move(handler);
        this->answer(kind);
    }

    void dropWatches() override { this->waiting.clear(); }
    void createMember(const Member & /*member*/, WriteHandler /*handler*/) override {}
    void replaceMember(const Member & /*member*/, WriteHandler /*handler*/) override {}
    void removeMember(std::string_view /*name*/, std::uint64_t /*revision*/,
                      WriteHandler /*handler*/) override
    {}

    void add(ViewKind kind, const ViewEvent &event)
    {
        this->events[kind].push_back({PlatformResult::Ok, event.version, {event}, {}});
        this->answer(kind);
    }

    std::map<ViewKind, ViewList> lists;

private:
    void answer(ViewKind kind)
    {
        auto &ready = this->events[kind];
        if (ready.empty() || !this->waiting[kind])
            return;
        boost::asio::post(this->context,
                          [outcome = ready.front(),
                           handler = std::exchange(this->waiting[kind], {})] { handler(outcome); });
        ready.pop_front();
    }

    boost::asio::io_context &context;
    std::map<ViewKind, std::deque<ViewEvents>> events;
    std::map<ViewKind, WatchHandler> waiting;
};

/** \brief An instance's view, read from a store with one object of each kind. */
struct ViewFixture
{
    explicit ViewFixture()
    {
        this->source.lists[ViewKind::Members] = {PlatformResult::Ok, 4, {}, {}};
        this->source.lists[ViewKind::Configurations]
            = {PlatformResult::Ok, 4, {{"main", 1, configuration(1)}}, {}};
        this->source.lists[ViewKind::Upstreams]
            = {PlatformResult::Ok, 4, {{"i-7", 2, upstream("i-7")}}, {}};
        this->source.lists[ViewKind::Evacuations] = {PlatformResult::Ok, 4, {}, {}};
        this->sources.onViewComplete();
    }

    void start()
    {
        this->follower.start();
        REQUIRE(runUntil(this->context, [&] { return this->follower.isComplete(); }));
    }

    /** \brief Adds an event and waits until it has been applied. */
    void apply(ViewKind kind, const std::string &name, std::uint64_t revision,
               std::optional<ViewObject> value)
    {
        const int before = this->changes;
        this->source.add(kind, {name, revision, std::move(value)});
        REQUIRE(runUntil(this->context, [&] { return this->changes > before; }));
    }

    [[nodiscard]] std::uint64_t malformedCount() const
    {
        return this->counters.value("object_malformed");
    }

    boost::asio::io_context context;
    Scheduler scheduler{asioScheduler(context)};
    Counters counters;
    Log log{LogOptions{20, {}, [](LogLevel, const std::string &) {
                       }}};
    Random random{1};
    ScriptedSource source{context};
    ViewSources sources{Member{"a-1", "a", Endpoint{1, 1}, 1}};
    SourcedStore store{scheduler,
                       source,
                       sources,
                       counters,
                       log,
                       {[](const ViewSource &) { return nullptr; }, [] {},
                        [](Duration) {
                        }}};
    UpstreamDirectory directory{{}};
    RouteTable routes;
    PacketSteering steering{{"a", 10}, directory, routes, random, {}};
    ObjectMirror mirror{scheduler,
                        {[](const ViewRequest &) { return true; },
                         [this](ViewKind kind) { return this->follower.snapshot(kind); },
                         [] {
                             return ReplyFreshness{};
                         }}};
    MemberSweeper sweeper{scheduler, source, "a-1", counters, log, {}};
    int changes = 0;
    ViewFollower follower{scheduler,
                          store,
                          random,
                          {directory, routes, steering, sources, mirror, sweeper},
                          counters,
                          log,
                          [this] {
                              ++this->changes;
                          }};
};

} // namespace

// Guards against new flows in a domain whose evacuation can't be read, and against one that stays
// evacuated after its entry was removed.
TEST_CASE("a malformed evacuation is in force until it is removed", "[ViewFollower]")
{
    const bool listed = GENERATE(false, true);
    ViewFixture view;
    if (listed)
        view.source.lists[ViewKind::Evacuations].objects = {{"b", 4, malformed()}};
    view.start();
    if (!listed)
        view.apply(ViewKind::Evacuations, "b", 5, malformed());
    CHECK(view.directory.isEvacuated("b"));
    CHECK(view.follower.snapshot(ViewKind::Evacuations).size() == 1);
    CHECK(view.malformedCount() == 1);
    view.apply(ViewKind::Evacuations, "", 6, malformed());
    CHECK_FALSE(view.directory.isEvacuated(""));
    CHECK(view.malformedCount() == 2);
    view.apply(ViewKind::Evacuations, "b", 7, std::nullopt);
    CHECK_FALSE(view.directory.isEvacuated("b"));
}

// Guards against a malformed configuration that takes the routes of the one in force.
TEST_CASE("a malformed configuration leaves that in force", "[ViewFollower]")
{
    ViewFixture view;
    view.start();
    view.apply(ViewKind::Configurations, "main", 5, malformed());
    CHECK(view.routes.version() == 1);
    CHECK(view.routes.find(route) != nullptr);
    CHECK(view.malformedCount() == 1);
    view.apply(ViewKind::Configurations, "main", 6, configuration(2));
    CHECK(view.routes.version() == 2);
}

// Guards against new flows to an upstream whose entry can't be read, and against one that stays
// unused after its entry was corrected.
TEST_CASE("a malformed upstream is not used until its entry is corrected", "[ViewFollower]")
{
    const std::string name = GENERATE("i-7", "i-8", "");
    ViewFixture view;
    view.start();
    view.apply(ViewKind::Upstreams, name, 5, malformed());
    CHECK(view.directory.candidates("s").size() == (name == "i-7" ? 0 : 1));
    CHECK(view.malformedCount() == 1);
    view.apply(ViewKind::Upstreams, "i-7", 6, upstream("i-7"));
    CHECK(view.directory.candidates("s").size() == 1);
}
