#include "support/LargeDeployment.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::simulation;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned domains = 5;
constexpr unsigned instancesPerDomain = 60;
constexpr Duration restartPause = milliseconds(300);

/** \brief Brings about a fault of one instance. */
struct InstanceFault
{
    std::string name;
    std::function<void(LargeDeployment &deployment, std::size_t index)> apply;
};

std::vector<InstanceFault> instanceFaults()
{
    return {
        {"is killed",
         [](LargeDeployment &each, std::size_t index) {
             each.at(index).kill();
         }},
        {"hangs",
         [](LargeDeployment &each, std::size_t index) {
             each.at(index).freeze(seconds(60));
         }},
    };
}

} // namespace

// Guards against a start of hundreds of instances that stay at the store once they have read it.
TEST_CASE("hundreds of instances that restart at once read the store once", "[LargeView]")
{
    LargeDeployment deployment(domains, instancesPerDomain);
    deployment.settle();
    deployment.killAndRestart(deployment.every(1), restartPause);
    CHECK(deployment.runUntilReady() <= milliseconds(500));
    deployment.run(seconds(5));
    constexpr std::size_t lists = 4;
    CHECK(deployment.storeCalls() <= (lists + 1) * deployment.size());
}

// Guards against a first start at which each instance reads everything from the store.
TEST_CASE("at the first start most instances read what others have read", "[LargeView]")
{
    LargeDeployment deployment(domains, instancesPerDomain);
    deployment.settle();
    // Each registers and lists the members; a few read the rest.
    CHECK(deployment.callsOfSettling() <= 3 * deployment.size());
}

// Guards against load on the store that grows with the number of instances.
TEST_CASE("in a calm deployment one instance of each domain reads the store", "[LargeView]")
{
    LargeDeployment deployment(domains, instancesPerDomain);
    deployment.settle();
    deployment.run(seconds(10));
    constexpr std::uint64_t watchesPerSecond = 3; // Configuration 1/s, two others and a reserve.
    CHECK(deployment.storeCalls() <= domains * watchesPerSecond * 10);
}

// Guards against instances that can't start while the store is away, although others have a view.
TEST_CASE("an instance starts from another one while the store does not answer", "[LargeView]")
{
    struct Case
    {
        StoreMode mode;
        double slowness;
    };
    const auto each = GENERATE(values<Case>({
        {StoreMode::Silent, 1.0},
        {StoreMode::Reset, 1.0},
        {StoreMode::Busy, 1.0},
        {StoreMode::TooMany, 1.0},
        {StoreMode::Serving, 60.0},
    }));
    const unsigned perDomain = GENERATE(3U, instancesPerDomain);
    // After some seconds no instance has a view that the store has confirmed lately.
    const Duration outage = GENERATE(Duration(milliseconds(500)), Duration(seconds(8)));
    LargeDeployment deployment(perDomain == 3U ? 3U : domains, perDomain);
    deployment.settle();
    deployment.surroundings.storeFaults.mode = each.mode;
    deployment.surroundings.storeFaults.slowness = each.slowness;
    deployment.surroundings.store.cutWatches();
    deployment.run(outage);
    deployment.killAndRestart(deployment.every(2), restartPause);
    CHECK(deployment.runUntilReady() <= milliseconds(500));
}

// Guards against a deployment that stays down after the store has returned.
TEST_CASE("if no instance has a view, all start soon after the store returns", "[LargeView]")
{
    LargeDeployment deployment(domains, instancesPerDomain);
    deployment.settle();
    deployment.surroundings.storeFaults.mode = StoreMode::Silent;
    deployment.killAndRestart(deployment.every(1), restartPause);
    deployment.run(seconds(4));
    deployment.surroundings.storeFaults.mode = StoreMode::Serving;
    CHECK(deployment.runUntilReady() <= seconds(2));
}

// Guards against an instance of the tree that takes those below it along when it fails, and against
// lists of everything by all of them.
TEST_CASE("a change reaches all others if an instance between them and the store fails",
          "[LargeView]")
{
    const std::size_t index = GENERATE(0U, 1U, 3U, 10U);
    const auto fault = GENERATE(from_range(instanceFaults()));
    INFO("instance " << index << ' ' << fault.name);
    LargeDeployment deployment(domains, instancesPerDomain);
    deployment.settle();
    fault.apply(deployment, index);
    deployment.configure(2);
    CHECK(deployment.runUntilVersion(2) <= milliseconds(2'500));
    deployment.run(seconds(3));
    CHECK(deployment.storeCalls() <= domains * 10 * 10);
}

// Guards against a domain that learns nothing because the instance that reads the store for it
// can't reach the store.
TEST_CASE("a domain whose first instance lost the store reads from another domain", "[LargeView]")
{
    const unsigned perDomain = GENERATE(2U, 3U, instancesPerDomain);
    LargeDeployment deployment(3, perDomain);
    deployment.settle();
    deployment.surroundings.links.cutFromStore(deployment.at(0).member().name, true);
    deployment.configure(2);
    CHECK(deployment.runUntilVersion(2) <= milliseconds(2'500));
}

// Guards against hundreds of instances that call the store again and again during its outage.
TEST_CASE("an outage of the store is noticed by few instances", "[LargeView]")
{
    const auto mode = GENERATE(StoreMode::Silent, StoreMode::Busy, StoreMode::Reset);
    LargeDeployment deployment(domains, instancesPerDomain);
    deployment.settle();
    deployment.surroundings.storeFaults.mode = mode;
    deployment.surroundings.store.cutWatches();
    deployment.run(milliseconds(4'500));
    CHECK(deployment.storeCalls() <= deployment.size());
    deployment.surroundings.storeFaults.mode = StoreMode::Serving;
    deployment.configure(2);
    CHECK(deployment.runUntilVersion(2) <= seconds(3));
}

// Guards against upstreams that all instances but one drop, since their entries expired while the
// store was away.
TEST_CASE("entries that expired in an outage of the store stay usable everywhere", "[LargeView]")
{
    LargeDeployment deployment(3, 3, 1);
    deployment.settle();
    deployment.surroundings.storeFaults.mode = StoreMode::Silent;
    deployment.surroundings.store.cutWatches();
    deployment.run(seconds(4));
    constexpr unsigned expired = 7;
    deployment.removeUpstream(expired);
    deployment.surroundings.storeFaults.mode = StoreMode::Serving;
    deployment.run(milliseconds(1'700));
    const std::size_t before = deployment.upstreamCount();
    for (std::size_t index = 0; index < deployment.size(); ++index)
        CHECK(deployment.at(index).usableUpstreams("dispatch") == before);
    deployment.run(seconds(4));
    CHECK(deployment.lacking(expired) == deployment.size());
}

// Guards against lists by all instances after the store has dropped its history.
TEST_CASE("readers need no list after the store has dropped its history", "[LargeView]")
{
    LargeDeployment deployment(domains, instancesPerDomain);
    deployment.settle();
    const std::uint64_t before = deployment.calls("peer_list");
    constexpr unsigned removed = 3;
    deployment.surroundings.store.cutWatches();
    deployment.removeUpstream(removed);
    deployment.surroundings.store.forgetHistory();
    deployment.configure(2);
    CHECK(deployment.runUntilVersion(2) <= seconds(5));
    deployment.run(seconds(5));
    CHECK(deployment.lacking(removed) == deployment.size());
    CHECK(deployment.calls("peer_list") == before);
}
