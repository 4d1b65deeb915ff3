#include "app/StandinCommands.h"

#include "service/CommandOptions.h"
#include "service/ExitCode.h"
#include "service/Log.h"
#include "standin/PlatformStandin.h"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <csignal>

namespace bulrushgap {

namespace internal {

boost::leaf::result<int> servePlatform(const std::string &file)
{
    BOOST_LEAF_AUTO(settings, PlatformStandinSettings::load(file));
    boost::asio::io_context context(1);
    PlatformStandin platform(context, std::move(settings));
    BOOST_LEAF_AUTO(endpoint, platform.start());
    Log log("standin");
    log.info("platform_started", {{"address", endpoint.toString()}});
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    context.run();
    log.info("platform_stopped");
    return toInt(ExitCode::Success);
}

} // namespace internal

int runPlatformStandin(std::span<const std::string> arguments)
{
    CommandOptions options("bulrushgap standin platform --settings FILE");
    options.table.add_options()("settings", boost::program_options::value<std::string>(),
                                "settings file");
    if (const auto code = options.parse(arguments))
        return *code;
    if (!options.has("settings"))
        return options.usageError("option --settings is required");
    Log::configure("info");
    const std::string file = options.text("settings");
    return boost::leaf::try_handle_all(
        [&] { return internal::servePlatform(file); },
        [&](const SettingsFaults &error) { return reportFaults(file, error.faults); },
        [](const boost::system::error_code &error) {
            Log("standin").error("listen_failed", {{"reason", error.message()}});
            return toInt(ExitCode::Failed);
        },
        [] { return toInt(ExitCode::Failed); });
}

} // namespace bulrushgap
