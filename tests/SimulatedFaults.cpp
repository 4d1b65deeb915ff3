#include "support/SimulatedRuns.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace bulrushgap;
using namespace bulrushgap::simulation;
using namespace bulrushgap::test;
using namespace std::chrono_literals;

// Guards against a kind of trouble that breaks a promise, or from which service does not return.
TEST_CASE("Each kind of fault keeps the promises and passes", "[SimulatedFaults]")
{
    const auto number = GENERATE(range(0U, static_cast<unsigned>(FaultKind::Count)));
    const auto kind = static_cast<FaultKind>(number);
    const RunSettings settings = sampleRunSettings(kind == FaultKind::AllInstancesLost ? 27s : 20s);
    const std::vector<PlannedFault> faults{{kind, faultStart, faultDuration, 0.4}};
    INFO(faultLines(faults));
    checkReport(simulate(settings, faults, number + 1), settings);
}

// Guards against an evacuated domain whose instances keep its callers while they reach no upstream:
// served by the other domains' instances, callers lose only the time of the verdict and of the
// routers' checks.
TEST_CASE("Callers of an evacuated domain that is cut off are served elsewhere",
          "[SimulatedFaults]")
{
    const auto seed = GENERATE(range(1U, 5U));
    const RunSettings settings = sampleRunSettings(24s);
    const std::string domain = settings.domains[seed % settings.domains.size()];
    const std::vector<PlannedFault> faults{{FaultKind::Evacuation, 2s, 18s, 0.0, domain},
                                           {FaultKind::DomainCut, 8s, 8s, 0.0, domain}};
    INFO("seed " << seed << '\n' << faultLines(faults));
    std::map<std::string, std::vector<std::string>> outcomes;
    Run run(settings, faults, seed, {[&](const std::string &instance, const std::string &line) {
                if (line.find("event=readiness ") != std::string::npos)
                    outcomes[instance].push_back(line);
            }});
    const RunReport report = run.play();
    checkReport(report, settings);
    CHECK(outcomes.size() == settings.instancesPerDomain);
    for (const auto &[instance, lines] : outcomes) {
        INFO(instance);
        CHECK(instance.starts_with(domain));
        REQUIRE(lines.size() == 2);
        CHECK(lines[0].find("outcome=withdrawn reason=own_upstreams_unusable")
              != std::string::npos);
        CHECK(lines[1].find("outcome=returned reason=peer_reached") != std::string::npos);
    }
    constexpr std::int64_t servedElsewhereFrom = 11;
    constexpr std::int64_t cutEnd = 16;
    const RequestCounts elsewhere = report.between(servedElsewhereFrom, cutEnd);
    CHECK(elsewhere.servedShare() >= minServedShareAfterFault);
}

// Guards against an isolated instance that resets the flows it can't carry, instead of leaving them
// to the other instances, and against one that stays out of rotation.
TEST_CASE("An isolated instance leaves rotation and resets no flow", "[SimulatedFaults]")
{
    const auto seed = GENERATE(range(1U, 5U));
    RunSettings settings = sampleRunSettings(24s);
    settings.instancesPerDomain = 6;
    const std::vector<PlannedFault> faults{{FaultKind::InstanceIsolated, 4s, 8s, 0.2}};
    INFO("seed " << seed << '\n' << faultLines(faults));
    std::map<std::string, std::string> lines; //!< Of the instances that found themselves isolated.
    std::map<std::string, bool> hasReset;
    Run run(settings, faults, seed, {[&](const std::string &instance, const std::string &line) {
                if (line.find("event=instance_connectivity") != std::string::npos
                    || line.find("event=readiness ") != std::string::npos)
                    lines[instance] += line + '\n';
                if (line.find("event=flow_reset") != std::string::npos
                    || line.find("outcome=upstream_unreachable") != std::string::npos)
                    hasReset[instance] = true;
            }});
    const RunReport report = run.play();
    checkReport(report, settings);
    CHECK_FALSE(lines.empty());
    for (const auto &[instance, text] : lines) {
        INFO(instance << '\n' << text);
        const std::size_t isolated = text.find("after=isolated");
        const std::size_t withdrawn = text.find("outcome=withdrawn");
        const std::size_t returned = text.find("outcome=returned");
        CHECK(isolated < withdrawn);
        CHECK(withdrawn < returned);
        CHECK(returned != std::string::npos);
        CHECK_FALSE(hasReset.contains(instance));
    }
}

// Guards against changes of operators and upstreams that are lost, or undone for good, when the
// store returns from a copy while they take place, and against instances that miss a change after
// its return, since the revisions are smaller than before.
TEST_CASE("A store that returns from a copy keeps the promises during changes", "[SimulatedFaults]")
{
    const auto kind = GENERATE(FaultKind::InstanceStop, FaultKind::UpstreamReborn,
                               FaultKind::Release, FaultKind::ScaleIn, FaultKind::ScaleOut,
                               FaultKind::ConfigurationStorm, FaultKind::Evacuation);
    const auto seed = GENERATE(range(1U, 3U));
    const RunSettings settings = sampleRunSettings(24s);
    const std::vector<PlannedFault> faults{{FaultKind::StoreRestored, 3s, 6s, 0.0},
                                           {kind, 4s, 4s, 0.4},
                                           {FaultKind::Evacuation, 12s, 6s, 0.0}};
    INFO("seed " << seed << '\n' << faultLines(faults));
    checkReport(simulate(settings, faults, seed), settings);
}
