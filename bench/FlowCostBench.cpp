#include "Baseline.h"
#include "Bench.h"
#include "FlowOwner.h"
#include "Product.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <iostream>
#include <memory>

namespace bulrushgap::bench {

constexpr std::size_t rounds = 7;

struct Candidate
{
    std::string_view name;
    std::unique_ptr<Mechanism> mechanism;
    std::vector<double> times{}; //!< ns per packet, one for each round.
};

struct CostOptions
{
    std::uint64_t seed = 1;
    std::size_t flows = 300'000;
    std::size_t packets = 2'000'000;
    bool json = false;
};

CostOptions parseCostOptions(std::span<const std::string> arguments)
{
    namespace options = boost::program_options;
    CostOptions result;
    options::options_description description("Options of flow-cost");
    description.add_options()("seed", options::value(&result.seed), "seed of the flows")(
        "flows", options::value(&result.flows), "flows known to the instance")(
        "packets", options::value(&result.packets),
        "packets of one round")("json", options::bool_switch(&result.json), "print JSON");
    options::variables_map values;
    options::store(options::command_line_parser({arguments.begin(), arguments.end()})
                       .options(description)
                       .run(),
                   values);
    options::notify(values);
    return result;
}

/** \returns ns per packet. */
double timePackets(Mechanism &mechanism, std::span<const std::uint64_t> hashes,
                   std::span<const std::uint32_t> order, TimePoint now)
{
    std::size_t placed = 0;
    const auto start = std::chrono::steady_clock::now();
    for (const std::uint32_t index : order)
        placed += mechanism.route(hashes[index], now, false).index();
    const std::chrono::duration<double, std::nano> time = std::chrono::steady_clock::now() - start;
    // The sum is used, so that the compiler keeps the calls.
    return time.count() / static_cast<double>(order.size()) + (placed > order.size() * 2 ? 1 : 0);
}

int runFlowCost(std::span<const std::string> arguments)
{
    const CostOptions options = parseCostOptions(arguments);
    const KeyedHash hash(options.seed);
    const InstanceId self{1};
    std::vector<Candidate> candidates;
    candidates.push_back({"baseline", std::make_unique<Baseline>(hash)});
    candidates.push_back({"owner", std::make_unique<FlowOwner>(self, hash)});
    candidates.push_back({"product", std::make_unique<Product>(self, hash)});

    Random random(options.seed);
    std::vector<std::uint64_t> hashes(options.flows);
    std::ranges::generate(hashes, std::ref(random));
    std::vector<std::uint32_t> order(options.packets);
    std::ranges::generate(order,
                          [&] { return static_cast<std::uint32_t>(random() % hashes.size()); });
    const TimePoint now{std::chrono::hours(1)};
    const Plan plan = makePlan(8, 14);
    for (const Candidate &candidate : candidates) {
        Mechanism::Outbox out;
        candidate.mechanism->onPlan(plan, now, out);
        for (const std::uint64_t flow : hashes)
            candidate.mechanism->route(flow, now, true);
    }
    // Rounds alternate, so that a slow phase of the machine meets all candidates.
    for (std::size_t round = 0; round < rounds; ++round)
        for (Candidate &candidate : candidates)
            candidate.times.push_back(timePackets(*candidate.mechanism, hashes, order, now));

    boost::json::array rows;
    double baseline = 0;
    for (Candidate &candidate : candidates) {
        std::ranges::sort(candidate.times);
        const double median = candidate.times[rounds / 2];
        baseline = baseline == 0 ? median : baseline;
        const double bytes = static_cast<double>(candidate.mechanism->bytes())
                             / static_cast<double>(options.flows);
        rows.push_back({{"mechanism", candidate.name},
                        {"nsPerPacket", median},
                        {"ratio", median / baseline},
                        {"bytesPerFlow", bytes}});
        if (!options.json)
            std::cout << std::left << std::setw(10) << candidate.name << std::right << std::fixed
                      << std::setprecision(1) << std::setw(8) << median << " ns/packet"
                      << std::setprecision(2) << std::setw(7) << median / baseline << " of baseline"
                      << std::setprecision(1) << std::setw(7) << bytes << " bytes/flow\n";
    }
    if (options.json)
        std::cout << boost::json::object{{"bench", "flow-cost"},
                                         {"seed", options.seed},
                                         {"rows", rows}}
                  << '\n';
    return 0;
}

} // namespace bulrushgap::bench
