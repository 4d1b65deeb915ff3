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

    void watchFor(ViewKind kind, StoreRevision /*since*/, std::chrono::milliseconds /*wait*/,
                  WatchHandler handler) override
    {
        this->waiting[kind] = std::move(handler);
        this->answer(kind);
    }

    void dropWatches() override { this->waiting.clear(); }
    void createMember(const Member & /*member*/, WriteHandler /*handler*/) override {}
    void replaceMember(const Member & /*member*/, WriteHandler /*handler*/) override {}
    void removeMember(std::string_view /*name*/, StoreRevision /*revision*/,
                      WriteHandler /*handler*/) override
    {}

    /** \brief Answers the watch of a kind with changes up to the last one. */
    void add(ViewKind kind, const std::vector<ViewEvent> &changes)
    {
        this->events[kind].push_back({PlatformResult::Ok, changes.back().version, changes, {}});
        this->answer(kind);
    }

    /** \brief Answers the watch of a kind with a failure, or that its history is gone. */
    void end(ViewKind kind, PlatformResult result)
    {
        this->events[kind].push_back({result, {}, {}, {}});
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
    void apply(ViewKind kind, const std::string &name, StoreRevision revision,
               std::optional<ViewObject> value)
    {
        this->apply(kind, {{name, revision, std::move(value)}});
    }

    void apply(ViewKind kind, const std::vector<ViewEvent> &events)
    {
        const int before = this->changes;
        this->source.add(kind, events);
        REQUIRE(runUntil(this->context, [&] { return this->changes > before; }));
    }

    /** \brief Lets the store return from a copy that has \a objects at \a revision. */
    void restore(ViewKind kind, StoreRevision revision, std::vector<ViewItem> objects)
    {
        const int before = this->changes;
        this->source.lists[kind] = {PlatformResult::Ok, revision, std::move(objects), {}};
        this->source.end(kind, PlatformResult::Gone);
        REQUIRE(runUntil(this->context, [&] { return this->changes > before; }));
    }

    /** \returns what an instance reads that follows this one. */
    [[nodiscard]] ViewEvents changesSince(ViewKind kind, StoreRevision since)
    {
        ViewEvents result;
        this->mirror.watch({kind, since, std::chrono::milliseconds(0), false},
                           [&](const ObjectMirror::EventsPtr &events) { result = *events; });
        return result;
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

// Guards against an instance that takes the revisions of a store that returned from a copy for
// older ones, or an equal one for no change: it would keep the lost state, and so would its
// readers.
TEST_CASE("the view follows a store that returns from a copy", "[ViewFollower]")
{
    const std::uint64_t revision = GENERATE(1, 4, 9);
    ViewFixture view;
    view.source.lists[ViewKind::Upstreams].objects.push_back({"i-8", 3, upstream("i-8")});
    view.start();
    // Revision 2 of the copy is another change than the one known.
    UpstreamEntry changed = std::get<UpstreamEntry>(upstream("i-7"));
    changed.slots = 5;
    view.restore(ViewKind::Upstreams, {1, revision}, {{"i-7", {1, 2}, changed}});
    CHECK(view.directory.at(0).entry.slots == 5);
    CHECK(view.counters.value("store_restored") == 1);
    CHECK(view.follower.storeEra() == 1);
    const ViewEvents changes = view.changesSince(ViewKind::Upstreams, 4);
    CHECK(changes.revision == StoreRevision{1, revision});
    REQUIRE(changes.events.size() == 2);
    CHECK(changes.events[0].key == "i-7");
    CHECK_FALSE(changes.events[1].value);
    // The missing one has the grace period to register again.
    CHECK(view.directory.candidates("s").size() == 2);
    // An answer of the earlier era that arrives late changes nothing.
    view.restore(ViewKind::Upstreams, {0, 99}, {});
    CHECK(view.directory.registeredCount() == 1);
    CHECK(view.counters.value("store_restored") == 1);
}

// Guards against an instance that asks its source again after the store's return from a copy, takes
// a change that the store has lost for one of the new era, and ignores what follows about it.
TEST_CASE("a change that is passed on keeps its era", "[ViewFollower]")
{
    UpstreamEntry draining = std::get<UpstreamEntry>(upstream("i-8"));
    draining.state = UpstreamState::Draining;
    const auto later = GENERATE_COPY(values<std::optional<ViewObject>>({draining, std::nullopt}));
    const bool drains = later.has_value();
    const bool atOnce = GENERATE(false, true);
    ViewFixture view;
    view.start();
    std::vector<ViewEvent> events{{"i-8", {0, 30}, upstream("i-8")}, // Lost.
                                  {"i-7", {1, 2}, upstream("i-7")},
                                  {"i-8", {1, 6}, upstream("i-8")}};
    if (atOnce)
        events.push_back({"i-8", {1, 8}, later});
    view.apply(ViewKind::Upstreams, events);
    CHECK(view.counters.value("store_restored") == 1);
    if (!atOnce)
        view.apply(ViewKind::Upstreams, "i-8", {1, 8}, later);
    const UpstreamIndex index = 1;
    REQUIRE(view.directory.at(index).entry.name == "i-8");
    CHECK(view.directory.at(index).registered == drains);
    CHECK((view.directory.at(index).entry.state == UpstreamState::Draining) == drains);
    const auto items = view.follower.snapshot(ViewKind::Upstreams);
    REQUIRE(items.size() == (drains ? 2 : 1));
    CHECK(items.back().version == (drains ? StoreRevision{1, 8} : StoreRevision{1, 2}));
}

// Guards against a drain that was read before the store's return, and is undone by its copy.
TEST_CASE("a copy does not undo a drain of the era before", "[ViewFollower]")
{
    ViewFixture view;
    view.start();
    UpstreamEntry draining = std::get<UpstreamEntry>(upstream("i-7"));
    draining.state = UpstreamState::Draining;
    view.apply(ViewKind::Upstreams, {{"i-7", {0, 30}, draining}, {"i-7", {1, 2}, upstream("i-7")}});
    CHECK(view.directory.candidates("s").empty());
}

// Guards against an answer with many versions of a large configuration, which a weak link takes for
// seconds, and against a history that keeps them in memory. Eras are kept apart.
TEST_CASE("readers get the last change of an object in each era", "[ViewFollower]")
{
    struct Case
    {
        std::vector<StoreRevision> changes;
        std::vector<StoreRevision> passedOn;
    };
    const auto each = GENERATE(values<Case>({
        {{5}, {5}},
        {{5, 6, 7}, {7}},
        {{5, 6, {1, 2}, {1, 3}}, {6, {1, 3}}},
    }));
    ViewFixture view;
    view.start();
    for (const StoreRevision &revision : each.changes)
        view.apply(ViewKind::Configurations, "main", revision,
                   configuration(10 * revision.era + revision.number));
    const ViewEvents changes = view.changesSince(ViewKind::Configurations, 4);
    CHECK(changes.revision == each.changes.back());
    std::vector<StoreRevision> passedOn;
    for (const ViewEvent &event : changes.events)
        passedOn.push_back(event.version);
    CHECK(passedOn == each.passedOn);
}

// Guards against readers that miss a change which this instance knew from a read of the registry,
// before the store dropped its history and the watch had told of it.
TEST_CASE("a change that only a read of the registry told is passed on", "[ViewFollower]")
{
    ViewFixture view;
    view.start();
    UpstreamEntry draining = std::get<UpstreamEntry>(upstream("i-7"));
    draining.state = UpstreamState::Draining;
    const std::vector<ViewItem> objects{{"i-7", 6, draining}};
    view.source.lists[ViewKind::Upstreams] = {PlatformResult::Ok, 6, objects, {}};
    view.follower.verifyUpstreams(view.source);
    REQUIRE(runUntil(view.context, [&] { return view.directory.candidates("s").empty(); }));
    view.restore(ViewKind::Upstreams, 8, objects);
    const ViewEvents changes = view.changesSince(ViewKind::Upstreams, 4);
    CHECK(changes.revision == 8);
    REQUIRE(changes.events.size() == 1);
    REQUIRE(changes.events[0].value);
    CHECK(std::get<UpstreamEntry>(*changes.events[0].value).state == UpstreamState::Draining);
}

// Guards against a reader that keeps an object for ever which it learnt of at another source, and
// which this instance never knew: the difference of two lists does not tell that it has gone.
TEST_CASE("a reader that was ahead lists again after a difference", "[ViewFollower]")
{
    struct Case
    {
        StoreRevision since;
        StoreRevision listed;
        PlatformResult result;
    };
    const auto each = GENERATE(values<Case>({
        {3, 9, PlatformResult::Gone},
        {4, 9, PlatformResult::Ok},
        {7, 9, PlatformResult::Gone},
        {4, {1, 2}, PlatformResult::Ok},
        {7, {1, 2}, PlatformResult::Gone},
    }));
    CAPTURE(each.since.number, each.listed.era);
    ViewFixture view;
    view.start();
    std::optional<PlatformResult> pending;
    view.mirror.watch({ViewKind::Upstreams, each.since, std::chrono::seconds(20), false},
                      [&](const ObjectMirror::EventsPtr &events) { pending = events->result; });
    view.restore(ViewKind::Upstreams, each.listed, {{"i-7", each.listed, upstream("i-7")}});
    CHECK(view.changesSince(ViewKind::Upstreams, each.since).result == each.result);
    CHECK((pending == PlatformResult::Gone) == (each.result == PlatformResult::Gone));
}

// Guards against an older configuration of the copy that takes over.
TEST_CASE("the configuration of a copy does not replace a later one", "[ViewFollower]")
{
    ViewFixture view;
    view.start();
    view.apply(ViewKind::Configurations, "main", 5, configuration(8));
    view.restore(ViewKind::Configurations, {1, 4}, {{"main", {1, 1}, configuration(7)}});
    CHECK(view.routes.version() == 8);
    const auto items = view.follower.snapshot(ViewKind::Configurations);
    REQUIRE(items.size() == 1);
    CHECK(std::get<ConfigurationPtr>(items[0].value)->version == 8);
}

// Guards against new flows in an evacuated domain while the operators write the evacuation again,
// and against one that stays evacuated although they don't.
TEST_CASE("an evacuation that a copy lacks stays in force for the grace period", "[ViewFollower]")
{
    const bool writtenAgain = GENERATE(false, true);
    ViewFixture view;
    view.source.lists[ViewKind::Evacuations].objects = {{"b", 4, Evacuation{}}};
    view.start();
    view.restore(ViewKind::Evacuations, {1, 3}, {});
    CHECK(view.directory.isEvacuated("b"));
    if (writtenAgain)
        view.source.add(ViewKind::Evacuations, {{"b", {1, 5}, Evacuation{}}});
    const auto graceEnd = view.directory.graceEnd() + std::chrono::milliseconds(50);
    REQUIRE(runUntil(view.context, [&] { return view.scheduler.now() > graceEnd; }));
    CHECK(view.directory.isEvacuated("b") == writtenAgain);
}

// Guards against the reset of flows whose upstream is missing from a registry that has just come
// back, if this instance notices that by the read itself.
TEST_CASE("a read of a registry that has returned starts the grace period", "[ViewFollower]")
{
    struct Case
    {
        bool failedBefore; //!< The read before had no answer.
        std::uint64_t era;
        bool grace; //!< Whether the registry may lack upstreams that have to register again.
    };
    const auto each
        = GENERATE(values<Case>({{false, 0, false}, {true, 0, true}, {false, 1, true}}));
    ViewFixture view;
    view.start();
    ViewList &list = view.source.lists[ViewKind::Upstreams];
    list.revision = {each.era, 4};
    const auto verify = [&](PlatformResult result) {
        list.result = result;
        view.follower.verifyUpstreams(view.source);
        // The read takes place at most once a second.
        const TimePoint next = view.scheduler.now() + std::chrono::milliseconds(1'050);
        REQUIRE(runUntil(view.context, [&] { return view.scheduler.now() > next; }));
    };
    if (each.failedBefore)
        verify(PlatformResult::Unavailable);
    verify(PlatformResult::Ok);
    CHECK((view.directory.graceEnd() > view.scheduler.now()) == each.grace);
}
