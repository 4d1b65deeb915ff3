#include "AdmissionBench.h"

#include "AdmissionPolicy.h"
#include "AdmissionWorld.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <iostream>
#include <string_view>

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

} // namespace internal

int runAdmissionBench(std::span<const std::string> arguments)
{
    std::uint64_t seed = 1;
    if (!arguments.empty()) {
        const std::string &text = arguments.front();
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed);
        if (error != std::errc{} || end != text.data() + text.size()) {
            std::cerr << "usage: admission [SEED]\n";
            return 2;
        }
    }
    std::cout << "load        policy         goodput        p50        p99     sheds   refused"
                 "    answered  peak\n";
    for (const AdmissionScenario &scenario : internal::benchScenarios) {
        for (const auto &[kind, name] : internal::benchPolicies) {
            AdmissionWorld world(scenario, seed);
            const auto policy = makeAdmissionPolicy(kind, world);
            internal::printRow(scenario, name, world.run(*policy));
        }
    }
    return 0;
}

} // namespace bulrushgap
