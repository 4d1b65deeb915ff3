#include "app/ExperimentCommand.h"

#include "service/CommandOptions.h"
#include "service/ExitCode.h"
#include "simulation/Experiment.h"
#include "simulation/Run.h"

#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <charconv>
#include <cstdint>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <optional>

namespace bulrushgap {

namespace internal {

struct ExperimentOptions
{
    std::uint64_t firstSeed = 1;
    std::uint64_t seeds = 1;
    bool json = false;
    std::string logFile; //!< Lines of the instances; empty for none.
};

std::optional<std::uint64_t> seedOf(const std::string &text)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return whole ? std::optional(number) : std::nullopt;
}

simulation::RunReport playSeed(const simulation::Experiment &experiment, std::uint64_t seed,
                               std::ofstream &log)
{
    simulation::RunHooks hooks;
    if (log.is_open())
        hooks.onLogLine = [&log, seed](const std::string &instance, const std::string &line) {
            log << "seed=" << seed << " instance=" << instance << ' ' << line << '\n';
        };
    simulation::Run run(experiment.run, experiment.faultsFor(seed), seed, std::move(hooks));
    return run.play();
}

void printSeedLine(std::uint64_t seed, const simulation::RunReport &report)
{
    std::cout << "seed " << seed << " served " << std::fixed << std::setprecision(3)
              << report.total().servedShare() << " worst second " << report.worstSecond()
              << " broken " << report.brokenTotal() << '\n';
    for (const std::string &text : report.brokenTexts())
        std::cout << "  " << text << '\n';
}

void printRun(const std::vector<simulation::PlannedFault> &faults,
              const simulation::RunReport &report)
{
    for (const simulation::PlannedFault &fault : faults)
        std::cout << fault.toString() << '\n';
    std::cout << report.toText();
}

int playExperiment(const simulation::Experiment &experiment, const ExperimentOptions &options)
{
    std::ofstream log;
    if (!options.logFile.empty()) {
        log.open(options.logFile);
        if (!log) {
            std::cerr << options.logFile << ": can't be written\n";
            return toInt(ExitCode::Failed);
        }
    }
    std::uint64_t broken = 0;
    for (std::uint64_t i = 0; i < options.seeds; ++i) {
        const std::uint64_t seed = options.firstSeed + i;
        const simulation::RunReport report = playSeed(experiment, seed, log);
        broken += report.brokenTotal();
        if (options.json)
            std::cout << boost::json::serialize(report.toJson()) << '\n';
        else if (options.seeds > 1)
            printSeedLine(seed, report);
        else
            printRun(experiment.faultsFor(seed), report);
    }
    return toInt(broken == 0 ? ExitCode::Success : ExitCode::Failed);
}

} // namespace internal

int runExperiment(std::span<const std::string> arguments)
{
    CommandOptions options("bulrushgap experiment [OPTIONS] FILE");
    namespace po = boost::program_options;
    options.table.add_options()("seed", po::value<std::string>()->default_value("1"),
                                "seed of the first run")(
        "seeds", po::value<std::string>()->default_value("1"),
        "runs, each with the next seed")("json", "prints each report as a line of JSON")(
        "log", po::value<std::string>(), "file for the lines that the instances write")(
        "file", po::value<std::string>(), "experiment file");
    options.positional.add("file", 1);
    if (const auto code = options.parse(arguments))
        return *code;
    const auto seed = internal::seedOf(options.text("seed"));
    const auto seeds = internal::seedOf(options.text("seeds"));
    if (!seed || !seeds)
        return options.usageError("--seed and --seeds take whole numbers");
    if (!options.has("file"))
        return options.usageError("a file is required");
    const std::string file = options.text("file");
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(experiment, simulation::Experiment::load(file));
            return internal::playExperiment(
                experiment, {*seed, *seeds, options.has("json"), options.text("log")});
        },
        [&](const SettingsFaults &error) { return reportFaults(file, error.faults); },
        [] { return toInt(ExitCode::Failed); });
}

} // namespace bulrushgap
