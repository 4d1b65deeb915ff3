#include "simulation/EventLoop.h"
#include "view/SourcedStore.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using namespace std::chrono_literals;

namespace {

/** \brief State of a source that the test answers for. */
struct ScriptedPeer
{
    std::map<ViewKind, std::vector<ViewStore::WatchHandler>> watches;
    std::optional<TimePoint> arrivingUntil; //!< Of an incomplete answer.
    std::size_t dropped = 0;

    /** \brief Answers the pending watches of a kind. */
    void answer(ViewKind kind, PlatformResult result = PlatformResult::Ok)
    {
        for (const auto &handler : std::exchange(this->watches[kind], {}))
            handler(ViewEvents{result, 5, {}, {}});
    }
};

class ScriptedSource : public ObjectSource
{
public:
    ScriptedSource(const Scheduler &scheduler, ScriptedPeer &peer)
        : scheduler(scheduler)
        , peer(peer)
    {}

    void list(ViewKind /*kind*/, ListHandler /*handler*/) override {}
    void watchFor(ViewKind kind, StoreRevision /*since*/, std::chrono::milliseconds /*wait*/,
                  WatchHandler handler) override
    {
        this->peer.watches[kind].push_back(std::move(handler));
    }
    void dropWatches() override
    {
        ++this->peer.dropped;
        this->peer.watches.clear();
    }
    [[nodiscard]] std::optional<TimePoint> lastArrival() const override
    {
        if (!this->peer.arrivingUntil)
            return std::nullopt;
        return std::min(this->scheduler.now(), *this->peer.arrivingUntil);
    }

private:
    const Scheduler &scheduler;
    ScriptedPeer &peer;
};

/** \brief An instance that prefers another one, and turns to the store without it. */
struct Reader
{
    Reader()
    {
        const std::vector<Member> members{{"a-1", "a", Endpoint{2, 1}, 9}, this->self};
        this->sources.update(members, this->loop.now());
        this->sources.onViewComplete();
    }

    /** \brief Watches a kind; its outcomes are collected. */
    void watch(ViewKind kind)
    {
        this->store.watch(kind, 5, [this, kind](const ViewEvents &events) {
            this->outcomes[kind].push_back(events.result);
        });
    }

    /** \returns the time from \a start until the instance leaves its source, in steps of 10 ms. */
    Duration timeUntilLeft(TimePoint start)
    {
        while (this->counters.value("view_stale") == 0 && this->loop.now() - start < 20s)
            this->loop.runFor(10ms);
        return this->loop.now() - start;
    }

    simulation::EventLoop loop;
    Scheduler scheduler = loop.scheduler();
    Counters counters;
    Log log{LogOptions{20, {}, [](LogLevel, const std::string &) {
                       }}};
    ScriptedPeer preferredState;
    ScriptedPeer storeState;
    ScriptedSource storeSource{scheduler, storeState};
    Member self{"a-2", "a", Endpoint{1, 1}, 1};
    ViewSources sources{self};
    SourcedStore store{scheduler,
                       storeSource,
                       sources,
                       counters,
                       log,
                       {[this](const ViewSource &) {
                            return std::make_unique<ScriptedSource>(this->scheduler,
                                                                    this->preferredState);
                        },
                        [] {},
                        [](Duration) {
                        }}};
    std::map<ViewKind, std::vector<PlatformResult>> outcomes;
};

} // namespace

// Guards against an old view that breaks off the very answer which renews it, and against a source
// that is waited for after it has fallen silent, or that takes for ever.
TEST_CASE("an instance with an old view waits for an answer that goes on arriving",
          "[SourceChange]")
{
    struct Case
    {
        std::optional<Duration> arrivingFor; //!< Beyond the limit on the age of the view.
        Duration earliest;                   //!< From the limit until the source is left.
        Duration latest;
    };
    const auto each = GENERATE(values<Case>({
        {std::nullopt, 0ms, 100ms},
        {-500ms, 0ms, 100ms},
        {800ms, 800ms, 1'100ms},
        {60s, 2s, 2'100ms},
    }));
    Reader reader;
    reader.watch(ViewKind::Configurations);
    reader.preferredState.answer(ViewKind::Configurations);
    const TimePoint limit = reader.loop.now() + reader.sources.freshnessLimit();
    reader.watch(ViewKind::Configurations);
    if (each.arrivingFor)
        reader.preferredState.arrivingUntil = limit + *each.arrivingFor;
    const Duration left = reader.timeUntilLeft(limit);
    CHECK(left >= each.earliest);
    CHECK(left <= each.latest);
    CHECK(reader.outcomes[ViewKind::Configurations].back() == PlatformResult::Unavailable);
}

// Guards against one lost call that breaks off the answer to another, which then starts again.
TEST_CASE("a call fails alone while another answer of its source arrives", "[SourceChange]")
{
    const bool arriving = GENERATE(false, true);
    Reader reader;
    reader.sources.onSourceFailed(reader.loop.now());
    REQUIRE(reader.sources.followsStore());
    for (const ViewKind kind : {ViewKind::Evacuations, ViewKind::Upstreams}) {
        reader.watch(kind);
        reader.storeState.answer(kind);
        reader.watch(kind);
    }
    if (arriving)
        reader.storeState.arrivingUntil = reader.loop.now();
    reader.storeState.answer(ViewKind::Evacuations, PlatformResult::Unavailable);
    CHECK(reader.outcomes[ViewKind::Upstreams].size() == (arriving ? 1 : 2));
    CHECK(reader.storeState.dropped == (arriving ? 0 : 1));
    CHECK(reader.sources.followsStore() == arriving);
}

// Guards against two instances that wait for each other for 3 s, the whole of drain_ms of a small
// site: one goes back to the store while its watch of the registry stays at the other, and that one
// goes back to it.
TEST_CASE("all watches follow to a source that has answered", "[SourceChange]")
{
    const bool arriving = GENERATE(false, true);
    Reader reader;
    reader.sources.onSourceFailed(reader.loop.now());
    for (const ViewKind kind : {ViewKind::Upstreams, ViewKind::Configurations}) {
        reader.watch(kind);
        reader.storeState.answer(kind);
    }
    reader.loop.runFor(5'900ms);
    reader.watch(ViewKind::Upstreams);
    reader.loop.runFor(200ms);
    REQUIRE(reader.storeState.watches[ViewKind::Upstreams].size() == 1);
    if (arriving)
        reader.storeState.arrivingUntil = reader.loop.now();
    reader.watch(ViewKind::Configurations);
    REQUIRE_FALSE(reader.sources.followsStore());
    CHECK(reader.preferredState.watches[ViewKind::Upstreams].empty());
    reader.preferredState.answer(ViewKind::Configurations);
    CHECK(reader.preferredState.watches[ViewKind::Upstreams].size() == (arriving ? 0 : 1));
    CHECK(reader.storeState.watches[ViewKind::Upstreams].size() == (arriving ? 1 : 0));
    CHECK(reader.outcomes[ViewKind::Upstreams].size() == 1);
    ScriptedPeer &asked = arriving ? reader.storeState : reader.preferredState;
    asked.answer(ViewKind::Upstreams);
    CHECK(reader.outcomes[ViewKind::Upstreams].size() == 2);
}

// Guards against readers that trust the old configuration of an instance as current, since the
// store goes on answering its watches of other kinds.
TEST_CASE("a view ages while its configuration is late", "[SourceChange]")
{
    Reader reader;
    reader.sources.onSourceFailed(reader.loop.now());
    for (const ViewKind kind : {ViewKind::Configurations, ViewKind::Upstreams}) {
        reader.watch(kind);
        reader.storeState.answer(kind);
    }
    reader.watch(ViewKind::Configurations);
    for (int second = 0; second < 4; ++second) {
        reader.watch(ViewKind::Upstreams);
        reader.loop.runFor(1s);
        reader.storeState.answer(ViewKind::Upstreams);
    }
    CHECK(reader.store.age() > 2'500ms);
    reader.storeState.answer(ViewKind::Configurations);
    CHECK(reader.store.age() == 0ms);
}

// Guards against a view that counts as old since the configuration was once requested from the
// store and then read from another instance.
TEST_CASE("a read that went on at another source makes no view old", "[SourceChange]")
{
    Reader reader;
    reader.sources.onSourceFailed(reader.loop.now());
    reader.watch(ViewKind::Upstreams);
    reader.storeState.answer(ViewKind::Upstreams);
    reader.watch(ViewKind::Configurations);
    reader.loop.runFor(6'100ms);
    reader.watch(ViewKind::Upstreams);
    reader.preferredState.answer(ViewKind::Upstreams);
    reader.preferredState.answer(ViewKind::Configurations);
    reader.sources.update(std::vector<Member>{reader.self}, reader.loop.now());
    REQUIRE(reader.sources.followsStore());
    reader.watch(ViewKind::Upstreams);
    reader.storeState.answer(ViewKind::Upstreams);
    CHECK(reader.store.age() == 0ms);
}
