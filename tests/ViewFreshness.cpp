#include "simulation/EventLoop.h"
#include "view/FreshnessDeadline.h"
#include "view/ObjectMirror.h"
#include "view/SourcedStore.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration transit = milliseconds(1);

/** \brief Store without changes; turns some instances away. */
struct StoreState
{
    /** \returns whether the instances with a rank are turned away. */
    std::function<bool(unsigned rank)> refuses = [](unsigned) {
        return false;
    };
    unsigned calls = 0;
};

/** \brief The store as the instance with a rank reads it. */
class StoreReader : public ObjectSource
{
public:
    StoreReader(const Scheduler &scheduler, StoreState &state, unsigned rank)
        : scheduler(scheduler)
        , state(state)
        , rank(rank)
    {}

    void list(ViewKind /*kind*/, ListHandler /*handler*/) override {}
    void watchFor(ViewKind /*kind*/, std::uint64_t since, milliseconds wait,
                  WatchHandler handler) override
    {
        ++this->state.calls;
        const bool refused = this->state.refuses(this->rank);
        const auto result = refused ? PlatformResult::TooMany : PlatformResult::Ok;
        this->timers.push_back(this->scheduler.after(refused ? 2 * transit : Duration(wait),
                                                     [result, since, handler = std::move(handler)] {
                                                         handler(ViewEvents{result, since, {}, {}});
                                                     }));
    }
    void dropWatches() override { this->timers.clear(); }

private:
    const Scheduler &scheduler;
    StoreState &state;
    unsigned rank;
    std::vector<Scheduler::Timer> timers;
};

/** \brief Another instance, each message to and from which takes the transit time. */
class PeerReader : public ObjectSource
{
public:
    PeerReader(const Scheduler &scheduler, ObjectMirror &mirror, bool direct)
        : scheduler(scheduler)
        , mirror(mirror)
        , direct(direct)
    {}

    void list(ViewKind /*kind*/, ListHandler /*handler*/) override {}
    void watchFor(ViewKind kind, std::uint64_t since, milliseconds wait,
                  WatchHandler handler) override
    {
        const auto call = std::make_shared<Call>(Call{std::move(handler), {}});
        this->calls.push_back(call);
        const ViewRequest request{kind, since, wait, this->direct};
        call->timer = this->scheduler.after(transit, [this, request, weak = std::weak_ptr(call)] {
            this->mirror.watch(request, [this, weak](const ObjectMirror::EventsPtr &events) {
                const auto open = weak.lock();
                if (!open)
                    return;
                ViewEvents reply = *events;
                reply.freshness = this->mirror.freshness();
                open->timer = this->scheduler.after(
                    transit, [reply, handler = open->handler] { handler(reply); });
            });
        });
    }
    void dropWatches() override { this->calls.clear(); }

private:
    struct Call
    {
        WatchHandler handler;
        Scheduler::Timer timer;
    };

    const Scheduler &scheduler;
    ObjectMirror &mirror;
    bool direct;
    std::vector<std::shared_ptr<Call>> calls;
};

/** \brief An instance that reads the view and passes it on. */
struct Node
{
    using Connect = std::function<std::unique_ptr<ObjectSource>(const ViewSource &)>;

    Node(const Scheduler &scheduler, StoreState &store, Member member, unsigned rank,
         const std::vector<Member> &members, Connect connect)
        : scheduler(scheduler)
        , random(rank + 1)
        , store(scheduler, store, rank)
        , sources(std::move(member))
        , sourced(scheduler, this->store, this->sources, this->counters, this->log,
                  {std::move(connect), [this] { this->mirror.refusePendingDirect(); },
                   [](Duration) {
                   }})
        , mirror(scheduler, {[this](const ViewRequest &request) { return this->mayServe(request); },
                             [](ViewKind) { return std::vector<ViewItem>(); },
                             [this] {
                                 return ReplyFreshness{this->sourced.age(), {}};
                             }})
    {
        this->sources.update(members, scheduler.now());
        this->sources.onViewComplete();
    }

    void start()
    {
        const WatchRetry retry{milliseconds(15), milliseconds(500), milliseconds(200)};
        for (std::size_t i = 0; i < viewKindCount; ++i) {
            const auto kind = static_cast<ViewKind>(i);
            this->mirror.apply(kind, {true, 1, {}});
            this->watches.push_back(std::make_unique<ViewWatch>(
                this->scheduler, this->sourced, this->random, kind, [](const ViewUpdate &) {},
                [](bool) {}, retry));
            this->watches.back()->start(1);
        }
    }

    Counters counters;
    Log log{LogOptions{20, {}, [](LogLevel, const std::string &) {
                       }}};

    bool mayServe(const ViewRequest &request)
    {
        if (!request.direct)
            return this->sourced.isConnected();
        if (!this->sources.followsStore())
            this->sources.onDirectRequest(this->scheduler.now());
        return this->sourced.isDirect();
    }

    const Scheduler &scheduler;
    Random random;
    StoreReader store;
    ViewSources sources;
    SourcedStore sourced;
    ObjectMirror mirror;
    std::vector<std::unique_ptr<ViewWatch>> watches;
};

/** \brief Domains of instances with links of one rate. */
class Deployment
{
public:
    Deployment(unsigned domains, unsigned instances)
        : perDomain(instances)
    {
        std::vector<Member> members;
        for (unsigned i = 0; i < domains * instances; ++i) {
            const std::string domain(1, static_cast<char>('a' + i / instances));
            const auto rank = static_cast<std::uint32_t>(i % instances);
            members.push_back({domain + "-" + std::to_string(i), domain,
                               Endpoint{1, static_cast<std::uint16_t>(i)}, 1'000 - rank});
        }
        for (unsigned i = 0; i < members.size(); ++i) {
            this->nodes.push_back(std::make_unique<Node>(
                this->scheduler, this->store, members[i], i % instances, members,
                [this](const ViewSource &source) {
                    return std::make_unique<PeerReader>(
                        this->scheduler, this->nodes[source.peer->port]->mirror, source.direct);
                }));
        }
        for (const auto &node : this->nodes)
            node->start();
    }

    struct Oldest
    {
        Duration served{};  //!< Of the instances that the store answers.
        Duration refused{}; //!< Of those that it turns away.
    };

    /** \returns the greatest ages of a view meanwhile. */
    Oldest oldestDuring(Duration length)
    {
        Oldest oldest;
        for (Duration passed{}; passed < length; passed += milliseconds(10)) {
            this->loop.runFor(milliseconds(10));
            for (std::size_t i = 0; i < this->nodes.size(); ++i) {
                const bool refused
                    = this->store.refuses(static_cast<unsigned>(i % this->perDomain));
                Duration &age = refused ? oldest.refused : oldest.served;
                age = std::max(age, this->nodes[i]->sourced.age());
            }
        }
        return oldest;
    }

    [[nodiscard]] std::uint64_t counted(std::string_view counter) const
    {
        std::uint64_t sum = 0;
        for (const auto &node : this->nodes)
            sum += node->counters.value(counter);
        return sum;
    }

    simulation::EventLoop loop;
    Scheduler scheduler{this->loop.scheduler()};
    StoreState store;

private:
    unsigned perDomain;
    std::vector<std::unique_ptr<Node>> nodes;
};

/** \brief Instances of each domain, and the bound on the age of their views. */
struct SizeCase
{
    unsigned domains;
    unsigned instances;
    milliseconds servedBound;  //!< For instances that the store answers.
    milliseconds refusedBound; //!< For those that it turns away.
};

const std::vector<SizeCase> sizeCases{
    {1, 6, milliseconds(2'800), milliseconds(3'000)},
    {2, 9, milliseconds(2'800), milliseconds(3'000)},
    {3, 20, milliseconds(2'800), milliseconds(3'500)},
    {3, 34, milliseconds(3'800), milliseconds(4'000)},
    {1, 59, milliseconds(3'800), milliseconds(4'000)},
    {2, 100, milliseconds(4'000), milliseconds(4'000)},
};

} // namespace

// Guards against a change that reaches instances late because the times in which each level of the
// tree notices the loss of its source add up, although the store would answer most instances.
TEST_CASE("the age of a view is bounded while the store refuses a third of the instances",
          "[ViewFreshness]")
{
    const SizeCase size = GENERATE(from_range(sizeCases));
    const unsigned seed = GENERATE(0U, 1'000U, 2'000U, 3'000U); // 0: the first third.
    INFO(size.domains << " domains of " << size.instances << ", seed " << seed);
    Deployment deployment(size.domains, size.instances);
    CHECK(deployment.oldestDuring(seconds(10)).served < size.servedBound);
    CHECK(deployment.counted("view_stale") == 0);
    deployment.store.refuses = [&, third = size.instances / 3](unsigned rank) {
        constexpr unsigned refusedOneIn = 3;
        return seed == 0 ? rank < third : std::mt19937(seed + rank)() % refusedOneIn == 0;
    };
    const auto oldest = deployment.oldestDuring(seconds(9));
    CHECK(toMilliseconds(oldest.served) < size.servedBound.count());
    CHECK(toMilliseconds(oldest.refused) < size.refusedBound.count());
}

// Guards against a herd: in an outage of the store no instance finds a current view, and calls
// that are repeated without a pause delay its return.
TEST_CASE("instances with an old view call a lost store rarely", "[ViewFreshness]")
{
    const SizeCase size = GENERATE(from_range(sizeCases));
    INFO(size.domains << " domains of " << size.instances);
    Deployment deployment(size.domains, size.instances);
    static_cast<void>(deployment.oldestDuring(seconds(5)));
    deployment.store.refuses = [](unsigned) {
        return true;
    };
    const unsigned before = deployment.store.calls;
    static_cast<void>(deployment.oldestDuring(seconds(10)));
    const unsigned calls = deployment.store.calls - before;
    constexpr unsigned callsPerInstance = 15;
    CHECK(calls < callsPerInstance * size.domains * size.instances);
}

// Guards against limits that let a whole level call the store at once, or a reader before its
// source, and against one that grows without bound.
TEST_CASE("the limit on the age grows with the rank up to a maximum", "[ViewFreshness]")
{
    struct LimitCase
    {
        std::size_t rank;
        milliseconds least;
        milliseconds most;
    };
    const LimitCase limit = GENERATE(LimitCase{0, milliseconds(1'200), milliseconds(1'500)},
                                     LimitCase{1, milliseconds(1'700), milliseconds(2'000)},
                                     LimitCase{4, milliseconds(1'900), milliseconds(2'300)},
                                     LimitCase{20, milliseconds(2'400), milliseconds(2'700)},
                                     LimitCase{84, milliseconds(2'800), milliseconds(3'300)},
                                     LimitCase{10'000, milliseconds(3'500), milliseconds(3'900)});
    INFO("rank " << limit.rank);
    const Duration age = FreshnessDeadline::limitOf(limit.rank, ViewSources::maxChildren);
    CHECK(age >= limit.least);
    CHECK(age <= limit.most);
    CHECK(FreshnessDeadline::limitOf(limit.rank + 1, ViewSources::maxChildren) >= age);
}

// Guards against deadlines that follow each other without a pause while no source has a current
// view, and against a pause that is kept after one had.
TEST_CASE("each passed deadline delays the next one until a view is current", "[ViewFreshness]")
{
    constexpr Duration limit = seconds(2);
    TimePoint now{seconds(100)};
    FreshnessDeadline deadline;
    CHECK(deadline.remaining(milliseconds(1'500), limit, now) == milliseconds(500));
    CHECK_FALSE(deadline.takeHastyAttempt());
    bool first = true;
    for (const int delay : {500, 1'000, 2'000, 4'000, 8'000, 8'000}) {
        INFO("delay " << delay);
        CHECK(deadline.remaining(seconds(9), limit, now) <= Duration::zero());
        CHECK(deadline.onPassed(now) == std::exchange(first, false));
        CHECK(deadline.remaining(seconds(9), limit, now) == milliseconds(delay));
        CHECK(deadline.takeHastyAttempt());
        CHECK(deadline.takeHastyAttempt());
        CHECK(deadline.takeHastyAttempt());
        CHECK_FALSE(deadline.takeHastyAttempt());
        now += milliseconds(delay);
    }
    deadline.onFresh();
    CHECK(deadline.remaining(seconds(1), limit, now) == seconds(1));
    CHECK(deadline.onPassed(now));
}

// Guards against an instance without a source that confirms itself by replies without changes.
TEST_CASE("a watch ends with Busy if the view may no longer be served", "[ViewFreshness]")
{
    const bool losesSource = GENERATE(false, true);
    simulation::EventLoop loop;
    const Scheduler scheduler = loop.scheduler();
    bool serves = true;
    ObjectMirror mirror(scheduler, {[&](const ViewRequest &) { return serves; },
                                    [](ViewKind) { return std::vector<ViewItem>(); },
                                    [] {
                                        return ReplyFreshness{};
                                    }});
    mirror.apply(ViewKind::Upstreams, {true, 1, {}});
    std::vector<PlatformResult> results;
    mirror.watch({ViewKind::Upstreams, 1, milliseconds(700)},
                 [&](const auto &events) { results.push_back(events->result); });
    serves = !losesSource;
    loop.runFor(seconds(1));
    CHECK(results == std::vector{losesSource ? PlatformResult::Busy : PlatformResult::Ok});
}
