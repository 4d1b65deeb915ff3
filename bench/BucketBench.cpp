#include "Bench.h"
#include "BenchOptions.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <vector>

namespace bulrushgap::bench {

constexpr std::uint64_t unbounded = 100'000; //!< Plain rendezvous hashing.
constexpr int seeds = 20;

struct BucketResult
{
    double meanPeak = 0;
    double worstPeak = 0;
    double owned = 0; //!< Buckets of the drained upstream, in percent.
    double moved = 0; //!< Buckets that its drain moves, in percent.
    double milliseconds = 0;
};

BucketResult measureBuckets(std::uint16_t upstreams, std::uint64_t bound, std::uint64_t firstSeed)
{
    BucketResult result;
    for (int seed = 0; seed < seeds; ++seed) {
        Plan plan = makePlan(1, upstreams);
        PlanService &service = plan.services.front();
        const KeyedHash hash(firstSeed + static_cast<std::uint64_t>(seed));
        const auto start = std::chrono::steady_clock::now();
        const BucketTable before(service, plan.domains, hash, bound);
        const std::chrono::duration<double, std::milli> time
            = std::chrono::steady_clock::now() - start;
        service.upstreams.front().weight = 0;
        const BucketTable after(service, plan.domains, hash, bound);
        std::vector<std::size_t> counts(std::size_t{upstreams} + 1);
        std::size_t moved = 0;
        for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket) {
            ++counts[before[bucket].value];
            moved += before[bucket] != after[bucket] ? 1 : 0;
        }
        const double peak
            = static_cast<double>(*std::ranges::max_element(counts)) * upstreams / bucketCount;
        result.meanPeak += peak / seeds;
        result.worstPeak = std::max(result.worstPeak, peak);
        result.owned += 100.0 * static_cast<double>(counts[1]) / bucketCount / seeds;
        result.moved += 100.0 * static_cast<double>(moved) / bucketCount / seeds;
        result.milliseconds += time.count() / seeds;
    }
    return result;
}

int runBuckets(std::span<const std::string> arguments)
{
    const BenchOptions options = parseBenchOptions(arguments);
    boost::json::array rows;
    if (!options.json)
        std::cout << "upstreams bound% peak/mean worst owned% moved% ms\n" << std::fixed;
    for (const std::uint16_t upstreams : {std::uint16_t{4}, std::uint16_t{14}}) {
        for (const std::uint64_t bound : {std::uint64_t{100}, std::uint64_t{102},
                                          std::uint64_t{103}, std::uint64_t{105}, unbounded}) {
            const BucketResult result = measureBuckets(upstreams, bound, options.seed);
            rows.push_back({{"upstreams", upstreams},
                            {"boundPercent", bound},
                            {"meanPeak", result.meanPeak},
                            {"worstPeak", result.worstPeak},
                            {"ownedPercent", result.owned},
                            {"movedPercent", result.moved},
                            {"milliseconds", result.milliseconds}});
            if (options.json)
                continue;
            std::cout << std::setw(9) << upstreams << std::setw(7) << bound << std::setprecision(3)
                      << std::setw(10) << result.meanPeak << std::setw(6) << result.worstPeak
                      << std::setprecision(2) << std::setw(7) << result.owned << std::setw(7)
                      << result.moved << std::setw(6) << result.milliseconds << '\n';
        }
    }
    if (options.json)
        std::cout << boost::json::object{{"bench", "buckets"},
                                         {"seed", options.seed},
                                         {"rows", rows}}
                  << '\n';
    return 0;
}

} // namespace bulrushgap::bench
