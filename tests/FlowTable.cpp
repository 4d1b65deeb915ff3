#include "FlowCluster.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;

namespace {

constexpr std::uint64_t flowBits = (std::uint64_t{1} << 52U) - 1;

/** \returns the upstream to which the bucket is not assigned; the plan has two. */
UpstreamId otherUpstream(const BucketTable &table, std::uint64_t hash)
{
    return UpstreamId{static_cast<std::uint16_t>(3 - table[bucketOf(hash)].value)};
}

} // namespace

// Guards against lost or mixed-up flows when runs grow, are reused and are split.
TEST_CASE("the table agrees with a plain map", "[FlowTable]")
{
    const std::size_t flows = GENERATE(as<std::size_t>{}, 100, 5'000, 200'000);
    Random random(flows);
    FlowTable table;
    std::map<std::uint64_t, UpstreamId> expected;
    std::vector<std::uint64_t> hashes;
    for (std::size_t i = 0; i < flows; ++i) {
        const std::uint64_t hash = random() & flowBits;
        const UpstreamId upstream{static_cast<std::uint16_t>(random() % 1000)};
        hashes.push_back(hash);
        table.insert(hash, upstream, 0);
        expected[hash] = upstream;
        const std::uint64_t victim = hashes[random() % hashes.size()];
        if (random() % 3 == 0)
            REQUIRE(table.erase(victim) == (expected.erase(victim) == 1));
    }
    REQUIRE(table.size() == expected.size());
    for (const std::uint64_t hash : hashes) {
        const auto found = expected.find(hash);
        REQUIRE(table.find(hash, 0).has_value() == (found != expected.end()));
        if (found != expected.end())
            REQUIRE(table.find(hash, 0) == found->second);
    }
    std::size_t visited = 0;
    for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket)
        table.visitBucket(bucket, [&](const FlowRecord &record) {
            ++visited;
            REQUIRE(expected.at(flowHashOf(record)) == record.upstream);
        });
    REQUIRE(visited == expected.size());
}

// Guards against exceptions that expire as early as ordinary flows and then change upstream.
TEST_CASE("exceptions outlive ordinary flows", "[FlowTable]")
{
    const Plan plan = test::makePlan(1, {1}, 2);
    const BucketTable buckets(plan.services[0], plan.domains, KeyedHash(7));
    const FlowIdleLimits limits;
    const std::uint64_t ordinary = 0x123005;
    const std::uint64_t exception = 0x456005;
    FlowTable flows;
    flows.insert(ordinary, buckets[bucketOf(ordinary)], 250);
    flows.insert(exception, otherUpstream(buckets, exception), 250);
    REQUIRE(!flows.isException(ordinary, buckets));
    REQUIRE(flows.isException(exception, buckets));

    const auto [age, left]
        = GENERATE(table<int, std::size_t>({{24, 2}, {25, 1}, {192, 1}, {193, 0}}));
    flows.sweep(flows.runCount(), buckets, limits, static_cast<CoarseTime>(250 + age));
    REQUIRE(flows.size() == left);
}

// Guards against a full table that evicts an exception or a recent flow before an idle one.
TEST_CASE("the oldest ordinary flow is evicted first", "[FlowTable]")
{
    const Plan plan = test::makePlan(1, {1}, 2);
    const BucketTable buckets(plan.services[0], plan.domains, KeyedHash(7));
    const std::array<std::uint64_t, 3> hashes{0x1005, 0x2005, 0x3005};
    FlowTable flows;
    flows.insert(hashes[0], otherUpstream(buckets, 5), 0);
    flows.insert(hashes[1], buckets[5], 1);
    flows.insert(hashes[2], buckets[5], 2);
    for (const std::size_t next : {1U, 2U, 0U}) {
        REQUIRE(flows.evictNear(5, buckets, 3));
        REQUIRE(!flows.find(hashes.at(next), 3));
    }
    REQUIRE(!flows.evictNear(5, buckets, 3));
}
