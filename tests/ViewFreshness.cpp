#include "simulation/EventLoop.h"
#include "support/LargeDeployment.h"
#include "view/FreshnessDeadline.h"
#include "view/ObjectMirror.h"
#include "view/ViewSources.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using simulation::LargeDeployment;
using std::chrono::milliseconds;
using std::chrono::seconds;

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
    {1, 6, milliseconds(2'800), milliseconds(3'000)},
    {2, 9, milliseconds(2'800), milliseconds(3'000)},
    {3, 20, milliseconds(2'800), milliseconds(3'500)},
    {3, 34, milliseconds(3'800), milliseconds(4'000)},
    {1, 59, milliseconds(3'800), milliseconds(4'000)},
    {2, 100, milliseconds(4'000), milliseconds(4'000)},
};

/** \brief Lets the store turn away a third of the instances: with seed 0 the first ranks of each
 * domain, else any. */
void refuseThird(LargeDeployment &deployment, const SizeCase &size, unsigned seed)
{
    constexpr unsigned refusedOneIn = 3;
    simulation::StoreFaults &faults = deployment.surroundings.storeFaults;
    std::map<std::string, std::vector<Member>> domains;
    for (std::size_t index = 0; index < deployment.size(); ++index)
        domains[deployment.at(index).member().domain].push_back(deployment.at(index).member());
    std::mt19937 random(seed);
    for (auto &[domain, members] : domains) {
        std::ranges::sort(members, {}, [](const Member &member) {
            return std::pair(-static_cast<std::int64_t>(member.capacity), member.name);
        });
        for (std::size_t rank = 0; rank < members.size(); ++rank) {
            if (seed == 0 ? rank < size.instances / refusedOneIn : random() % refusedOneIn == 0)
                faults.only.insert(members[rank].name);
        }
    }
    faults.mode = simulation::StoreMode::TooMany;
    deployment.surroundings.store.cutWatches();
}

struct OldestViews
{
    Duration served{};  //!< Of the instances that the store answers.
    Duration refused{}; //!< Of those that it turns away.
};

OldestViews oldestDuring(LargeDeployment &deployment, Duration length)
{
    OldestViews oldest;
    for (Duration passed{}; passed < length; passed += milliseconds(20)) {
        deployment.run(milliseconds(20));
        for (std::size_t index = 0; index < deployment.size(); ++index) {
            auto &instance = deployment.at(index);
            const bool refused
                = deployment.surroundings.storeFaults.only.contains(instance.member().name);
            Duration &age = refused ? oldest.refused : oldest.served;
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
    CHECK(oldestDuring(deployment, seconds(5)).served < size.servedBound);
    CHECK(deployment.calls("view_stale") == 0);
    refuseThird(deployment, size, seed);
    const OldestViews oldest = oldestDuring(deployment, seconds(9));
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
    deployment.surroundings.storeFaults.mode = simulation::StoreMode::TooMany;
    deployment.surroundings.store.cutWatches();
    deployment.resetCounts();
    deployment.run(seconds(10));
    constexpr unsigned callsPerInstance = 15;
    CHECK(deployment.storeCalls() < callsPerInstance * deployment.size());
    deployment.surroundings.storeFaults.mode = simulation::StoreMode::Serving;
    deployment.configure(2);
    CHECK(deployment.runUntilVersion(2) <= seconds(3));
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
