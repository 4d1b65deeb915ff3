#include "simulation/EventLoop.h"
#include "view/SourcedStore.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

/** \brief Replies to each watch after a millisecond with the same result. */
class FixedSource : public ObjectSource
{
public:
    FixedSource(const Scheduler &scheduler, PlatformResult result)
        : scheduler(scheduler)
        , result(result)
    {}

    void list(ViewKind /*kind*/, ListHandler /*handler*/) override {}
    void watchFor(ViewKind /*kind*/, StoreRevision since, milliseconds /*wait*/,
                  WatchHandler handler) override
    {
        const ViewEvents events{this->result, since, {}, {}};
        this->timers.push_back(this->scheduler.after(
            milliseconds(1), [events, handler = std::move(handler)] { handler(events); }));
    }
    void dropWatches() override { this->timers.clear(); }

private:
    const Scheduler &scheduler;
    PlatformResult result;
    std::vector<Scheduler::Timer> timers;
};

/** \brief The last of \a instances of a domain; all others have no source, the store answers. */
class LastOfDomain
{
public:
    explicit LastOfDomain(unsigned instances)
        : sources(Member{"a-99", "a", Endpoint{1, 99}, 1})
        , sourced(this->scheduler, this->store, this->sources, this->counters, this->log,
                  {[this](const ViewSource &) {
                       return std::make_unique<FixedSource>(this->scheduler, PlatformResult::Busy);
                   },
                   [] {},
                   [](Duration) {
                   }})
    {
        std::vector<Member> members{{"a-99", "a", Endpoint{1, 99}, 1}};
        for (std::uint16_t i = 1; i < instances; ++i)
            members.push_back({"a-" + std::to_string(i), "a", Endpoint{1, i}, 9});
        this->sources.update(members, this->scheduler.now());
        this->sources.onViewComplete();
        this->watch();
    }

    simulation::EventLoop loop;
    Scheduler scheduler{this->loop.scheduler()};
    Counters counters;
    Log log{LogOptions{20, {}, [](LogLevel, const std::string &) {
                       }}};
    FixedSource store{this->scheduler, PlatformResult::Ok};
    ViewSources sources;
    SourcedStore sourced;

private:
    void watch()
    {
        this->sourced.watch(ViewKind::Upstreams, 1, [this](const ViewEvents &) {
            this->retry = this->scheduler.after(milliseconds(50), [this] { this->watch(); });
        });
    }

    Scheduler::Timer retry;
};

} // namespace

// Guards against an instance that waits the whole grace period at each of its sources, although the
// store, which refuses only the first instances of its domain, would answer it.
TEST_CASE("an instance reaches the store after one grace period", "[SourceRound]")
{
    const unsigned instances = GENERATE(3U, 24U, 59U);
    LastOfDomain last(instances);
    const Duration grace = last.sources.busyGracePeriod();
    last.loop.runFor(grace / 2);
    CHECK_FALSE(last.sources.followsStore());
    last.loop.runFor(grace / 2 + milliseconds(400));
    CHECK(last.sources.followsStore());
    CHECK(last.sourced.isDirect());
}
