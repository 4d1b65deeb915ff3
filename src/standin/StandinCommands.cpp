#include "standin/CallerStandin.h"
#include "standin/FabricStandin.h"
#include "standin/StandinSettings.h"
#include "standin/UpstreamHost.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/system_error.hpp>

#include <csignal>
#include <iostream>

namespace bulrushgap {

namespace internal {

constexpr int exitSuccess = 0;
constexpr int exitFailure = 1;
constexpr int exitInvalidSettings = 3;

/** \brief Calls \a run with the settings and turns exceptions into messages and exit codes. */
template <typename Settings, typename Run>
int withSettings(std::span<const std::string> arguments, const Run &run)
{
    try {
        const auto settings = Settings::parse(StandinSettings::load(arguments));
        boost::asio::io_context context;
        run(context, settings);
        return exitSuccess;
    } catch (const StandinSettingsError &error) {
        std::cerr << "event=invalid_settings error=\"" << error.what() << "\"\n";
        return exitInvalidSettings;
    } catch (const boost::system::system_error &error) {
        std::cerr << "event=standin_failed error=\"" << error.what() << "\"\n";
        return exitFailure;
    }
}

void runUntilSignal(boost::asio::io_context &context)
{
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
}

} // namespace internal

int runFabricStandin(std::span<const std::string> arguments)
{
    return internal::withSettings<FabricSettings>(
        arguments, [](boost::asio::io_context &context, const FabricSettings &settings) {
            const FabricStandin fabric(context, settings);
            internal::runUntilSignal(context);
            std::cout << boost::json::serialize(fabric.stats()) << '\n';
        });
}

int runUpstreamStandin(std::span<const std::string> arguments)
{
    return internal::withSettings<UpstreamHostSettings>(
        arguments, [](boost::asio::io_context &context, const UpstreamHostSettings &settings) {
            const UpstreamHost host(context, settings);
            internal::runUntilSignal(context);
            std::cout << boost::json::serialize(host.stats()) << '\n';
        });
}

int runCallersStandin(std::span<const std::string> arguments)
{
    return internal::withSettings<CallerSettings>(
        arguments, [](boost::asio::io_context &context, const CallerSettings &settings) {
            const CallerStandin callers(context, settings, [&] { context.stop(); });
            internal::runUntilSignal(context);
            std::cout << boost::json::serialize(callers.summary().toJson()) << '\n';
        });
}

} // namespace bulrushgap
