#include "role/InstanceCommand.h"

#include "role/InstanceRole.h"
#include "service/CommandOptions.h"
#include "service/ExitCode.h"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <csignal>

namespace bulrushgap {

namespace internal {

boost::leaf::result<int> serveInstance(const std::string &file)
{
    BOOST_LEAF_AUTO(settings, InstanceSettings::load(file));
    Log::configure(settings.logLevel);
    boost::asio::io_context context(1);
    InstanceRole role(context, std::move(settings));
    BOOST_LEAF_CHECK(role.start());
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](boost::system::error_code error, int /*signal*/) {
        if (!error)
            role.beginStop();
    });
    context.run();
    return toInt(ExitCode::Success);
}

int reportListenFailure(const std::string &reason)
{
    Log("instance").error("listen_failed", {{"reason", reason}});
    return toInt(ExitCode::Failed);
}

} // namespace internal

int runInstance(std::span<const std::string> arguments)
{
    CommandOptions options("bulrushgap instance --settings FILE");
    options.table.add_options()("settings", boost::program_options::value<std::string>(),
                                "settings file");
    if (const auto code = options.parse(arguments))
        return *code;
    if (!options.has("settings"))
        return options.usageError("option --settings is required");
    const std::string file = options.text("settings");
    try {
        return boost::leaf::try_handle_all(
            [&] { return internal::serveInstance(file); },
            [&](const SettingsFaults &error) { return reportFaults(file, error.faults); },
            [](const boost::system::error_code &error) {
                return internal::reportListenFailure(error.message());
            },
            [] { return toInt(ExitCode::Failed); });
    } catch (const boost::system::system_error &error) {
        return internal::reportListenFailure(error.what());
    }
}

} // namespace bulrushgap
