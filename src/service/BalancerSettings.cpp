#include "service/BalancerSettings.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace bulrushgap {

namespace internal {

/** Name of the requirement that callers lose no requests at upstreams that accept and fail them. */
constexpr std::string_view healthRequirement = "health";

constexpr std::int64_t maxStopDelayMs = 60'000;

// clang-format off
constexpr std::array<Field, 15> balancerFields{{
    {"name", FieldType::Name, "", "", 1, 128, "", "name of the instance, unique in the deployment"},
    {"domain", FieldType::Name, "", "", 1, 128, "", "failure domain of the instance"},
    {"packetAddress", FieldType::Endpoint, "", "", 0, 0, "", "UDP, packets of callers; packets to callers go to its port"},
    {"readyAddress", FieldType::Endpoint, "", "", 0, 0, "", "TCP, readiness, metrics and explanations of new flows"},
    {"peerAddress", FieldType::Endpoint, "", "", 0, 0, "", "UDP and TCP, messages between instances"},
    {"store", FieldType::Endpoint, "", "", 0, 0, "", "the platform's metadata store"},
    {"seeds", FieldType::EndpointList, "", "[]", 0, 64, "", "peer addresses of instances that are asked for the view at the start"},
    {"limits.flows", FieldType::Integer, "flows", "100000", 1'024, 16'777'216, "", "flows tracked at most, about 100 bytes each"},
    {"limits.logLinesPerSecond", FieldType::Integer, "lines/s", "40", 1, 10'000, "", "log lines of one event"},
    {"timers.stopDelayMs", FieldType::Integer, "ms", "1500", 0, maxStopDelayMs, "", "from SIGTERM to the end; packets are still passed on"},
    {"linkMbps", FieldType::Number, "Mbit/s", "0", 0, 1'000'000, "", "link rate; instances with more are read by others first"},
    {"firstStart", FieldType::Flag, "", "false", 0, 0, "", "the whole deployment starts for the first time"},
    {"ejection.enabled", FieldType::Flag, "", "false", 0, 0, "", "new flows avoid upstreams whose requests fail; takes effect at a restart"},
    {"capacity.learned", FieldType::Flag, "", "false", 0, 0, "", "slow upstreams receive fewer new flows; takes effect at a restart"},
    {"requirements", FieldType::TextList, "", "[]", 0, 64, "", "what the platform demands: `health` has the effect of `ejection.enabled` and `capacity.learned`, other names none"},
}};
// clang-format on

BalancerSettings balancerSettings(const SettingsView &view)
{
    BalancerSettings settings;
    settings.name = view.text("name");
    settings.domain = view.text("domain");
    settings.packetAddress = view.endpoint("packetAddress");
    settings.readyAddress = view.endpoint("readyAddress");
    settings.peerAddress = view.endpoint("peerAddress");
    settings.store = view.endpoint("store");
    settings.seeds = view.endpoints("seeds");
    settings.flowCapacity = static_cast<std::uint32_t>(view.integer("limits.flows"));
    settings.logLinesPerSecond
        = static_cast<std::uint32_t>(view.integer("limits.logLinesPerSecond"));
    settings.firstStart = view.flag("firstStart");
    settings.stopDelay = view.milliseconds("timers.stopDelayMs");
    settings.requirements = view.texts("requirements");
    const bool health = std::ranges::find(settings.requirements, healthRequirement)
                        != settings.requirements.end();
    settings.ejection = view.flag("ejection.enabled") || health;
    settings.learnedCapacity = view.flag("capacity.learned") || health;
    settings.linkMbps = static_cast<std::uint32_t>(view.number("linkMbps"));
    return settings;
}

} // namespace internal

SettingsReader BalancerSettings::reader()
{
    return SettingsReader(internal::balancerFields);
}

boost::leaf::result<BalancerSettings> BalancerSettings::parse(std::string_view text)
{
    auto view = reader().read(text);
    if (!view)
        return view.error();
    return internal::balancerSettings(*view);
}

boost::leaf::result<BalancerSettings> BalancerSettings::load(const std::string &path)
{
    auto view = reader().readFile(path);
    if (!view)
        return view.error();
    return internal::balancerSettings(*view);
}

} // namespace bulrushgap
