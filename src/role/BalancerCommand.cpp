#include "role/BalancerCommand.h"

#include "role/BalancerRole.h"
#include "service/CommandOptions.h"
#include "service/ExitCode.h"
#include "service/FileWatch.h"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace bulrushgap {

namespace internal {

constexpr const char *settingsVariable = "BULRUSHGAP_NODE_FILE";

/** How often the settings file is looked at: it may change without a signal. */
constexpr std::chrono::milliseconds settingsInterval{2'000};

/** \brief Reads the settings again; with a fault the former ones stay. */
void reloadSettings(BalancerRole &role, const std::string &file)
{
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(settings, BalancerSettings::load(file));
            role.reload(settings);
            return {};
        },
        [&](const SettingsFaults &error) {
            for (const Fault &fault : error.faults)
                role.reloadRefused(fault.toString());
        },
        [&] { role.reloadRefused("the file can't be read"); });
}

void waitForReload(boost::asio::signal_set &signals, FileWatch &watch)
{
    signals.async_wait([&](boost::system::error_code error, int /*signal*/) {
        if (error)
            return;
        watch.check();
        waitForReload(signals, watch);
    });
}

boost::leaf::result<int> serveBalancer(const std::string &file)
{
    BOOST_LEAF_AUTO(settings, BalancerSettings::load(file));
    boost::asio::io_context context(1);
    LogPipe pipe(context, STDOUT_FILENO);
    BalancerRole role(context, std::move(settings), pipe);
    BOOST_LEAF_CHECK(role.start());
    boost::asio::signal_set stopSignals(context, SIGINT, SIGTERM);
    stopSignals.async_wait([&](boost::system::error_code error, int /*signal*/) {
        if (!error)
            role.beginStop();
    });
    boost::asio::signal_set reloadSignals(context, SIGHUP);
    FileWatch settingsWatch(context, file, settingsInterval, [&] { reloadSettings(role, file); });
    waitForReload(reloadSignals, settingsWatch);
    context.run();
    return toInt(ExitCode::Success);
}

int balancerFailed(std::string_view reason)
{
    std::cout << formatLogLine("start_failed", {{"reason", reason}}) << std::endl;
    return toInt(ExitCode::Failed);
}

} // namespace internal

int runBalancer(std::span<const std::string> arguments)
{
    CommandOptions options("bulrushgap balancer [--settings FILE]");
    options.table.add_options()("settings", boost::program_options::value<std::string>(),
                                "settings file; standard: the value of BULRUSHGAP_NODE_FILE");
    if (const auto code = options.parse(arguments))
        return *code;
    const char *standard = std::getenv(internal::settingsVariable);
    const std::string file
        = options.has("settings") ? options.text("settings") : (standard ? standard : "");
    if (file.empty())
        return options.usageError("option --settings is required");
    try {
        return boost::leaf::try_handle_all(
            [&] { return internal::serveBalancer(file); },
            [&](const SettingsFaults &error) { return reportFaults(file, error.faults); },
            [](const boost::system::error_code &error) {
                return internal::balancerFailed(error.message());
            },
            [] { return internal::balancerFailed("unknown"); });
    } catch (const boost::system::system_error &error) {
        return internal::balancerFailed(error.what());
    }
}

} // namespace bulrushgap
