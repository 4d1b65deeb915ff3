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

constexpr const char *settingsFileVariable = "BULRUSHGAP_NODE_FILE";

/** Interval at which the settings file is polled, because it may change without a SIGHUP. */
constexpr std::chrono::milliseconds settingsPollInterval{2'000};

/** \brief Reloads the settings file; if it is invalid, the current settings stay in effect. */
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
                role.logReloadFailure(fault.toString());
        },
        [&] { role.logReloadFailure("the settings file cannot be read"); });
}

void awaitReloadSignal(boost::asio::signal_set &signals, FileWatch &settingsWatch)
{
    signals.async_wait([&](boost::system::error_code error, int /*signal*/) {
        if (error)
            return;
        settingsWatch.check();
        awaitReloadSignal(signals, settingsWatch);
    });
}

boost::leaf::result<int> serveBalancer(const std::string &file)
{
    BOOST_LEAF_AUTO(settings, BalancerSettings::load(file));
    boost::asio::io_context context(1);
    LogPipe logPipe(context, STDOUT_FILENO);
    BalancerRole role(context, std::move(settings), logPipe);
    BOOST_LEAF_CHECK(role.start());
    boost::asio::signal_set stopSignals(context, SIGINT, SIGTERM);
    stopSignals.async_wait([&](boost::system::error_code error, int /*signal*/) {
        if (!error)
            role.beginStop();
    });
    boost::asio::signal_set reloadSignals(context, SIGHUP);
    FileWatch settingsWatch(context, file, settingsPollInterval,
                            [&] { reloadSettings(role, file); });
    awaitReloadSignal(reloadSignals, settingsWatch);
    context.run();
    return toInt(ExitCode::Success);
}

int reportStartFailure(std::string_view reason)
{
    std::cout << formatLogLine("start_failed", {{"reason", reason}}) << std::endl;
    return toInt(ExitCode::Failed);
}

} // namespace internal

int runBalancer(std::span<const std::string> arguments)
{
    CommandOptions options("bulrushgap balancer [--settings FILE]");
    options.table.add_options()("settings", boost::program_options::value<std::string>(),
                                "settings file; default: the value of BULRUSHGAP_NODE_FILE");
    if (const auto code = options.parse(arguments))
        return *code;
    const char *defaultFile = std::getenv(internal::settingsFileVariable);
    const std::string file
        = options.has("settings") ? options.text("settings") : (defaultFile ? defaultFile : "");
    if (file.empty())
        return options.usageError("option --settings is required");
    try {
        return boost::leaf::try_handle_all(
            [&] { return internal::serveBalancer(file); },
            [&](const SettingsFaults &error) { return reportFaults(file, error.faults); },
            [](const boost::system::error_code &error) {
                return internal::reportStartFailure(error.message());
            },
            [] { return internal::reportStartFailure("unknown"); });
    } catch (const boost::system::system_error &error) {
        return internal::reportStartFailure(error.what());
    }
}

} // namespace bulrushgap
