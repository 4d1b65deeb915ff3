#include "AdmissionBench.h"
#include "Bench.h"

#include <boost/program_options.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <iostream>
#include <vector>

namespace bulrushgap::bench {

constexpr std::array benches{
    Bench{"buckets", "imbalance, movement and time of bucket tables", runBuckets},
    Bench{"flow", "broken flows of three placement mechanisms in virtual time", runFlow},
    Bench{"flow-cost", "time and memory of one placement decision", runFlowCost},
    Bench{"admission", "admission policies in virtual time", runAdmissionBench},
    Bench{"slopes", "cost of one instance against flows, upstreams, services, instances",
          runSlopes},
};

int usage()
{
    std::cerr << "usage: bulrushgapBench NAME [OPTIONS]\n";
    for (const Bench &bench : benches)
        std::cerr << "  " << bench.name << ": " << bench.summary << '\n';
    return 2;
}

Plan makePlan(std::uint16_t instances, std::uint16_t upstreams)
{
    Plan plan;
    plan.id.storeVersion = 1;
    plan.domains.push_back({DomainId{1}, "domain", false});
    for (std::uint16_t i = 1; i <= instances; ++i)
        plan.instances.push_back({InstanceId{i}, std::to_string(i), DomainId{1}, {}, {}, 1, false});
    PlanService &service = plan.services.emplace_back();
    service.id = ServiceId{1};
    for (std::uint16_t i = 1; i <= upstreams; ++i) {
        PlanUpstream &upstream = service.upstreams.emplace_back();
        upstream.id = UpstreamId{i};
        upstream.domain = DomainId{1};
    }
    return plan;
}

} // namespace bulrushgap::bench

int main(int argc, char **argv)
{
    using namespace bulrushgap::bench;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty())
        return usage();
    const auto *const found = std::ranges::find(benches, arguments.front(), &Bench::name);
    if (found == benches.end())
        return usage();
    try {
        return found->run(std::span(arguments).subspan(1));
    } catch (const boost::program_options::error &error) {
        std::cerr << error.what() << '\n';
        return 2;
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 1;
    }
}
