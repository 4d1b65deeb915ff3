#include "FlowCluster.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;

namespace {

std::map<UpstreamId, std::size_t> bucketsOf(const BucketTable &table)
{
    std::map<UpstreamId, std::size_t> counts;
    for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket)
        ++counts[table[bucket]];
    return counts;
}

} // namespace

// Guards against uneven assignment, which would use up the permitted imbalance of 1.10.
TEST_CASE("buckets follow the weights", "[BucketTable]")
{
    const auto [upstreams, coldWeight, limit] = GENERATE(table<std::uint16_t, int, double>({
        {14, 16, 1.03},
        {4, 16, 1.03},
        {14, 1, 1.03},
        {4, 2, 1.03},
    }));
    Plan plan = test::makePlan(1, {1}, upstreams);
    auto &list = plan.services[0].upstreams;
    list[0].weight = static_cast<std::uint8_t>(coldWeight);
    double totalWeight = 0;
    for (const auto &upstream : list)
        totalWeight += upstream.weight;
    const BucketTable buckets(plan.services[0], plan.domains, KeyedHash(7));
    for (const auto &[id, count] : bucketsOf(buckets)) {
        const double share = bucketCount * findUpstream(plan.services[0], id)->weight / totalWeight;
        REQUIRE(static_cast<double>(count) < share * limit + 1);
    }
}

// Guards against buckets assigned to an upstream that must not receive new flows, and against a
// plan change that moves many more buckets than those of the changed upstream.
TEST_CASE("only the buckets of a changed upstream move", "[BucketTable]")
{
    using Change = std::function<void(Plan &)>;
    const auto [upstreams, change] = GENERATE(table<std::uint16_t, Change>({
        {14,
         [](Plan &plan) {
             plan.services[0].upstreams[0].state = UpstreamState::Draining;
         }},
        {14,
         [](Plan &plan) {
             plan.services[0].upstreams[0].state = UpstreamState::Ejected;
         }},
        {4,
         [](Plan &plan) {
             plan.services[0].upstreams[0].weight = 0;
         }},
        {4,
         [](Plan &plan) {
             plan.services[0].upstreams.erase(plan.services[0].upstreams.begin());
         }},
        {2,
         [](Plan &plan) {
             plan.domains[1].out = true;
         }},
    }));
    const UpstreamId changed{1};
    Plan plan = test::makePlan(1, {1}, upstreams);
    const BucketTable before(plan.services[0], plan.domains, KeyedHash(7));
    change(plan);
    const BucketTable after(plan.services[0], plan.domains, KeyedHash(7));
    std::size_t moved = 0;
    std::size_t owned = 0;
    for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket) {
        REQUIRE(after[bucket] != changed);
        owned += before[bucket] == changed ? 1 : 0;
        moved += before[bucket] != after[bucket] ? 1 : 0;
    }
    REQUIRE(moved <= owned + bucketCount * 4 / 100);
}

// Guards against division by zero and stale assignments if no upstream can receive new flows.
TEST_CASE("without a usable upstream no bucket is assigned", "[BucketTable]")
{
    Plan plan = test::makePlan(1, {1}, 1);
    plan.services[0].upstreams[0].weight = 0;
    const BucketTable buckets(plan.services[0], plan.domains, KeyedHash(7));
    REQUIRE(bucketsOf(buckets)[noUpstream] == bucketCount);
}
