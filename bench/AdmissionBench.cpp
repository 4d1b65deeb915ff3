#include "AdmissionBench.h"

#include "AdmissionPolicy.h"
#include "AdmissionWorld.h"
#include "BenchOptions.h"

#include <boost/json.hpp>

#include <array>
#include <cstdio>
#include <iostream>
#include <string_view>
#include <vector>

namespace bulrushgap {

namespace internal {

constexpr double benchMeasuredSeconds = 60;

struct NamedPolicy
{
    PolicyKind kind;
    std::string_view name;
};

constexpr std::array benchPolicies{
    NamedPolicy{PolicyKind::Baseline, "baseline"},
    NamedPolicy{PolicyKind::LocalShare, "local-share"},
    NamedPolicy{PolicyKind::Product, "product"},
};

constexpr std::array benchScenarios{
    AdmissionScenario{0.5, false}, AdmissionScenario{0.8, false}, AdmissionScenario{0.95, false},
    AdmissionScenario{1.3, false}, AdmissionScenario{0.5, true},
};

double milliseconds(const std::vector<Duration> &sorted, double quantile)
{
    if (sorted.empty())
        return 0;
    const auto index = static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
    return static_cast<double>(sorted.at(index).count()) / 1000.0;
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

void printRow(const AdmissionScenario &scenario, std::string_view policy,
              const AdmissionFigures &figures)
{
    std::array<char, 256> line{};
    std::snprintf(
        line.data(), line.size(),
        "%4.2f%-7s %-11.11s %7.1f/s %7.1f ms %7.1f ms %7.2f %% %7.2f %% %8.2f %% %5u",
        scenario.load, scenario.outage ? " outage" : "", policy.data(),
        static_cast<double>(figures.answered) / benchMeasuredSeconds,
        milliseconds(figures.latencies, 0.5), milliseconds(figures.latencies, 0.99),
        100 * share(figures.sheds, figures.offered), 100 * share(figures.refused, figures.offered),
        100 * share(figures.answered, figures.offered), static_cast<unsigned>(figures.peak));
    std::cout << line.data();
    if (scenario.outage) {
        std::snprintf(line.data(), line.size(),
                      "  during: load %.2f, answered %.2f %%; "
                      "after: answered %.2f %%",
                      share(figures.outageDispatches, figures.outageOffered),
                      100 * share(figures.outageAnswered, figures.outageOffered),
                      100 * share(figures.returnAnswered, figures.returnOffered));
        std::cout << line.data();
    }
    std::cout << '\n';
}

boost::json::object toJson(const AdmissionScenario &scenario, std::string_view policy,
                           const AdmissionFigures &figures)
{
    return {{"load", scenario.load},
            {"outage", scenario.outage},
            {"policy", policy},
            {"offered", figures.offered},
            {"answered", figures.answered},
            {"refused", figures.refused},
            {"sheds", figures.sheds},
            {"p50Ms", milliseconds(figures.latencies, 0.5)},
            {"p99Ms", milliseconds(figures.latencies, 0.99)},
            {"peak", figures.peak},
            {"outageOffered", figures.outageOffered},
            {"outageDispatches", figures.outageDispatches},
            {"outageAnswered", figures.outageAnswered},
            {"returnOffered", figures.returnOffered},
            {"returnAnswered", figures.returnAnswered}};
}

} // namespace internal

int runAdmissionBench(std::span<const std::string> arguments)
{
    const bench::BenchOptions options = bench::parseBenchOptions(arguments);
    boost::json::array rows;
    if (!options.json)
        std::cout << "load        policy         goodput        p50        p99     sheds   refused"
                     "    answered  peak\n";
    for (const AdmissionScenario &scenario : internal::benchScenarios) {
        for (const auto &[kind, name] : internal::benchPolicies) {
            AdmissionWorld world(scenario, options.seed);
            const auto policy = makeAdmissionPolicy(kind, world);
            const AdmissionFigures figures = world.run(*policy);
            if (options.json)
                rows.push_back(internal::toJson(scenario, name, figures));
            else
                internal::printRow(scenario, name, figures);
        }
    }
    if (options.json)
        std::cout << boost::json::object{{"bench", "admission"},
                                         {"seed", options.seed},
                                         {"rows", rows}}
                  << '\n';
    return 0;
}

} // namespace bulrushgap
