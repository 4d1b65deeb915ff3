#include "standin/UpstreamSettings.h"

#include "standin/StandinSettings.h"

namespace bulrushgap {

namespace internal {

UpstreamSettings parseUpstream(const StandinSettings &reader)
{
    UpstreamSettings settings;
    settings.name = reader.text("name");
    settings.service = reader.text("service");
    settings.serviceAddress = reader.endpoint("serviceAddress");
    settings.address = reader.endpoint("address");
    settings.slots = static_cast<std::uint16_t>(reader.number("slots", settings.slots));
    settings.connections
        = static_cast<std::uint16_t>(reader.number("connections", settings.connections));
    settings.queue = reader.number("queue", settings.queue);
    settings.serviceTime = reader.milliseconds("serviceTimeMs", settings.serviceTime);
    settings.feedInterval = reader.milliseconds("feedIntervalMs", settings.feedInterval);
    settings.parts = static_cast<std::uint32_t>(reader.number("parts", settings.parts));
    settings.coldRequests
        = static_cast<std::uint32_t>(reader.number("coldRequests", settings.coldRequests));
    settings.coldFactor
        = static_cast<std::uint32_t>(reader.number("coldFactor", settings.coldFactor));
    settings.collapseTime = reader.milliseconds("collapseMs", settings.collapseTime);
    if (settings.slots == 0 || settings.parts == 0)
        throw StandinSettingsError(settings.name + ": slots and parts have to be at least 1");
    return settings;
}

} // namespace internal

UpstreamFaults UpstreamFaults::parse(const boost::json::value &value)
{
    const StandinSettings reader(value, "faults");
    return {reader.text("upstream"), reader.flag("hang"), reader.flag("cold"), reader.flag("drain"),
            reader.flag("silentFlows")};
}

UpstreamHostSettings UpstreamHostSettings::parse(const boost::json::value &value)
{
    const StandinSettings reader(value, "settings");
    UpstreamHostSettings settings;
    settings.controlAddress = reader.endpoint("controlAddress");
    settings.returnAddress = reader.endpoint("returnAddress");
    for (const StandinSettings &each : reader.objects("upstreams"))
        settings.upstreams.push_back(internal::parseUpstream(each));
    return settings;
}

} // namespace bulrushgap
