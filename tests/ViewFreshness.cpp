#include "simulation/EventLoop.h"
#include "support/LargeDeployment.h"
#include "view/FreshnessDeadline.h"
#include "view/ObjectMirror.h"
#include "view/ViewSources.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using simulation::LargeDeployment;
using namespace std::chrono_literals;
using std::chrono::milliseconds;

namespace {

/** \brief Instances of each domain, and the bounds on the age of their views. */
struct SizeCase
{
    unsigned domains;
    unsigned instances;
    milliseconds servedBound;  //!< For instances that the store answers.
    milliseconds refusedBound; //!< For those that it turns away.
};

const std::vector<SizeCase> sizeCases{
    {1, 6, 2'800ms, 3'000ms},  {2, 9, 2'800ms, 3'000ms},  {3, 20, 2'800ms, 3'500ms},
    {3, 34, 3'800ms, 4'000ms}, {1, 59, 3'800ms, 4'000ms}, {2, 100, 4'000ms, 4'000ms},
};

/** \brief Lets the store turn away the instances that its faults concern. */
void refuseCalls(LargeDeployment &deployment)
{
    deployment.surroundings.storeFaults.mode = simulation::StoreMode::TooMany;
    deployment.surroundings.store.cutWatches();
}

/** \brief Lets the store turn away a third of the instances: with seed 0 the first ranks of each
 * domain, else any. */
void refuseThird(LargeDeployment &deployment, const SizeCase &size, unsigned seed)
{
    constexpr unsigned refusedOneIn = 3;
    std::vector<Member> members;
    for (std::size_t index = 0; index < deployment.size(); ++index)
        members.push_back(deployment.at(index).member());
    std::ranges::sort(members, {}, [](const Member &member) {
        return std::tuple(member.domain, -static_cast<std::int64_t>(member.capacity), member.name);
    });
    std::mt19937 random(seed);
    for (std::size_t i = 0; i < members.size(); ++i) {
        const std::size_t rank = i % size.instances;
        if (seed == 0 ? rank < size.instances / refusedOneIn : random() % refusedOneIn == 0)
            deployment.surroundings.storeFaults.only.insert(members[i].name);
    }
    refuseCalls(deployment);
}

struct OldestViews
{
    Duration served{};  //!< Of the instances that the store answers.
    Duration refused{}; //!< Of those that it turns away.
};

OldestViews oldestDuring(LargeDeployment &deployment, Duration length)
{
    OldestViews oldest;
    for (Duration passed{}; passed < length; passed += 20ms) {
        deployment.run(20ms);
        for (std::size_t index = 0; index < deployment.size(); ++index) {
            auto &instance = deployment.at(index);
            const auto &refused = deployment.surroundings.storeFaults.only;
            Duration &age
                = refused.contains(instance.member().name) ? oldest.refused : oldest.served;
            age = std::max(age, instance.mirror()->freshness().age);
        }
    }
    return oldest;
}

} // namespace

// Guards against a change that reaches instances late because the times in which each level of the
// tree notices the loss of its source add up, although the store would answer most instances.
TEST_CASE("the age of a view is bounded while the store refuses a third of the instances",
          "[ViewFreshness]")
{
    const SizeCase size = GENERATE(from_range(sizeCases));
    const unsigned seed = GENERATE(0U, 1U, 2U);
    INFO(size.domains << " domains of " << size.instances << ", seed " << seed);
    LargeDeployment deployment(size.domains, size.instances);
    deployment.settle();
    CHECK(oldestDuring(deployment, 5s).served < size.servedBound);
    CHECK(deployment.calls("view_stale") == 0);
    refuseThird(deployment, size, seed);
    const OldestViews oldest = oldestDuring(deployment, 9s);
    CHECK(toMilliseconds(oldest.served) < size.servedBound.count());
    CHECK(toMilliseconds(oldest.refused) < size.refusedBound.count());
}

// Guards against a herd: in an outage of the store no instance finds a current view, and calls
// that are repeated without a pause delay its return.
TEST_CASE("instances with an old view call a lost store rarely", "[ViewFreshness]")
{
    const SizeCase size = GENERATE(from_range(sizeCases));
    INFO(size.domains << " domains of " << size.instances);
    LargeDeployment deployment(size.domains, size.instances);
    deployment.settle();
    refuseCalls(deployment);
    deployment.resetCounts();
    deployment.run(10s);
    constexpr unsigned callsPerInstance = 15;
    CHECK(deployment.storeCalls() < callsPerInstance * deployment.size());
    deployment.surroundings.storeFaults.mode = simulation::StoreMode::Serving;
    deployment.configure(2);
    CHECK(deployment.runUntilVersion(2) <= 3s);
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
    const std::vector<LimitCase> limits{
        {0, 1'200ms, 1'500ms},  {1, 1'700ms, 2'000ms},  {4, 1'900ms, 2'300ms},
        {20, 2'400ms, 2'700ms}, {84, 2'800ms, 3'300ms}, {10'000, 3'500ms, 3'900ms},
    };
    const LimitCase limit = GENERATE_COPY(from_range(limits));
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
    constexpr Duration limit = 2s;
    TimePoint now{100s};
    FreshnessDeadline deadline;
    CHECK(deadline.remaining(1'500ms, limit, now) == 500ms);
    CHECK_FALSE(deadline.takeHastyAttempt());
    bool first = true;
    for (const int delay : {500, 1'000, 2'000, 4'000, 8'000, 8'000}) {
        INFO("delay " << delay);
        CHECK(deadline.remaining(9s, limit, now) <= Duration::zero());
        CHECK(deadline.onPassed(now) == std::exchange(first, false));
        CHECK(deadline.remaining(9s, limit, now) == milliseconds(delay));
        for (const bool isLeft : {true, true, true, false})
            CHECK(deadline.takeHastyAttempt() == isLeft);
        now += milliseconds(delay);
    }
    deadline.onFresh();
    CHECK(deadline.remaining(1s, limit, now) == 1s);
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
    mirror.watch({ViewKind::Upstreams, 1, 700ms},
                 [&](const auto &events) { results.push_back(events->result); });
    serves = !losesSource;
    loop.runFor(1s);
    CHECK(results == std::vector{losesSource ? PlatformResult::Busy : PlatformResult::Ok});
}
