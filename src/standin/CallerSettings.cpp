#include "standin/CallerSettings.h"

#include "standin/StandinSettings.h"

namespace bulrushgap {

CallerSettings CallerSettings::parse(const boost::json::value &value)
{
    const StandinSettings reader(value, "settings");
    CallerSettings settings;
    if (const auto local = reader.optionalEndpoint("localAddress"))
        settings.localAddress = local->address;
    if (value.as_object().contains("bookingPrefix"))
        settings.bookingPrefix = reader.text("bookingPrefix");
    for (const StandinSettings &each : reader.objects("services"))
        settings.services.push_back({each.text("name"), each.endpoint("address"),
                                     each.number("feeds", 0), each.number("getsPerSecond", 0),
                                     each.number("bookingsPerSecond", 0)});
    settings.duration = reader.milliseconds("durationMs", settings.duration);
    settings.deadline = reader.milliseconds("deadlineMs", settings.deadline);
    settings.feedInterval = reader.milliseconds("feedIntervalMs", settings.feedInterval);
    settings.refreshInterval = reader.milliseconds("refreshMs", settings.refreshInterval);
    settings.retransmitDelay = reader.milliseconds("retransmitMs", settings.retransmitDelay);
    settings.seed = reader.number("seed", settings.seed);
    return settings;
}

} // namespace bulrushgap
