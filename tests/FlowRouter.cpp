#include "FlowCluster.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;

namespace {

constexpr ServiceId service{1};

struct Router
{
    Counters counters;
    FlowRouter router{InstanceId{1}, 1, {}, KeyedHash(7), counters, {}};
    FlowRouter::Outbox out;
    TimePoint now{std::chrono::hours(1)};

    FlowDecision route(std::uint64_t hash) { return this->router.route(service, hash, now, false); }
};

} // namespace

// Guards against flows that stay on a removed upstream or leave a draining one.
TEST_CASE("known flows follow the state of their upstream", "[FlowRouter]")
{
    using Change = std::function<void(Plan &)>;
    const auto [change, stays] = GENERATE(table<Change, bool>({
        {[](Plan &plan) { plan.services[0].upstreams[0].state = UpstreamState::Draining; }, true},
        {[](Plan &plan) { plan.services[0].upstreams[0].weight = 0; }, true},
        {[](Plan &plan) { plan.services[0].upstreams.erase(plan.services[0].upstreams.begin()); },
         false},
        {[](Plan &plan) { plan.domains[1].out = true; }, false},
    }));
    Router instance;
    Plan plan = test::makePlan(1, {1}, 3);
    instance.router.onPlan(plan, instance.now, instance.out);
    std::uint64_t hash = 0;
    while (instance.route(hash) != FlowDecision(ToUpstream{UpstreamId{1}}))
        ++hash;
    const auto flows = instance.router.flowCount();
    change(plan);
    ++plan.id.storeVersion;
    instance.router.onPlan(plan, instance.now, instance.out);
    REQUIRE(instance.router.currentPlan()->id == plan.id);
    if (stays) {
        REQUIRE(instance.route(hash) == FlowDecision(ToUpstream{UpstreamId{1}}));
        instance.router.close(service, hash);
    }
    REQUIRE(instance.router.flowCount() < flows);
    const auto decision = instance.route(hash);
    REQUIRE(std::holds_alternative<ToUpstream>(decision));
    REQUIRE(decision != FlowDecision(ToUpstream{UpstreamId{1}}));
}

// Guards against stale records that apply again when a failure domain returns. A flow that was
// placed on another upstream in the meantime would then alternate between two upstreams.
TEST_CASE("flows of a failure domain that left stay where they were placed anew", "[FlowRouter]")
{
    Router instance;
    Plan plan = test::makePlan(1, {1}, 3);
    instance.router.onPlan(plan, instance.now, instance.out);
    std::uint64_t hash = 0;
    while (instance.route(hash) != FlowDecision(ToUpstream{UpstreamId{1}}))
        ++hash;
    plan.domains[1].out = true;
    ++plan.id.storeVersion;
    instance.router.onPlan(plan, instance.now, instance.out);
    const auto placed = instance.route(hash);
    REQUIRE(placed != FlowDecision(ToUpstream{UpstreamId{1}}));
    plan.domains[1].out = false;
    ++plan.id.storeVersion;
    instance.router.onPlan(plan, instance.now, instance.out);
    REQUIRE(instance.route(hash) == placed);
}

// Guards against flows that are placed without a plan, a known service or a usable upstream.
TEST_CASE("packets that cannot be placed are refused", "[FlowRouter]")
{
    Router instance;
    REQUIRE(instance.route(1) == FlowDecision(Refuse{RefusalReason::NotReady}));
    Plan plan = test::makePlan(2, {1}, 1);
    plan.services[0].upstreams[0].weight = 0;
    instance.router.onPlan(plan, instance.now, instance.out);
    REQUIRE(instance.route(1) == FlowDecision(Refuse{RefusalReason::NoUpstream}));
    REQUIRE(instance.router.route(ServiceId{9}, 1, instance.now, false)
            == FlowDecision(Refuse{RefusalReason::UnknownService}));
}

// Guards against an instance outside of the plan that places flows unknown to its members.
TEST_CASE("an instance outside the plan relays unknown flows", "[FlowRouter]")
{
    Router instance;
    Snapshot snapshot{test::makePlan(5, {2, 3}, 3), {}};
    snapshot.exceptions = {{service, {{7, 42, UpstreamId{2}}}}};
    REQUIRE(instance.router.loadSnapshot(snapshot, instance.now, instance.out));
    REQUIRE(std::holds_alternative<ToArbiter>(instance.route(1)));
    const std::uint64_t known = flowHashOf(snapshot.exceptions[0].flows[0]);
    REQUIRE(instance.route(known) == FlowDecision(ToUpstream{UpstreamId{2}}));
    REQUIRE(
        !instance.router.loadSnapshot({test::makePlan(4, {2}, 3), {}}, instance.now, instance.out));
}

// Guards against unbounded memory growth with the number of flows.
TEST_CASE("the number of flows is bounded and idle flows expire", "[FlowRouter]")
{
    Counters counters;
    FlowRouterOptions options;
    options.store.capacity = 10'000;
    FlowRouter router(InstanceId{1}, 1, options, KeyedHash(7), counters, {});
    FlowRouter::Outbox out;
    TimePoint now{std::chrono::hours(1)};
    router.onPlan(test::makePlan(1, {1}, 3), now, out);
    Random random(1);
    for (int i = 0; i < 30'000; ++i)
        router.route(service, random(), now, false);
    REQUIRE(router.flowCount() == options.store.capacity);
    REQUIRE(counters.value("flow_evicted") == 20'000);
    for (int i = 0; i < 3'000; ++i)
        router.tick(now += std::chrono::seconds(1), out);
    REQUIRE(router.flowCount() == 0);
}
