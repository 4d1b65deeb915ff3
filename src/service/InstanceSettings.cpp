#include "service/InstanceSettings.h"

#include <charconv>

namespace bulrushgap {

namespace internal {

constexpr std::int64_t minuteMs = 60'000;
constexpr std::int64_t hourMs = 60 * minuteMs;

// clang-format off
constexpr std::array<Field, 22> instanceFields{{
    {"deployment", FieldType::Name, "", "", 1, 64, "", "name shared by all instances of a deployment"},
    {"scope", FieldType::Name, "", "\"main\"", 1, 64, "", "instances over which the fabric sprays one flow"},
    {"name", FieldType::Name, "", "", 1, 64, "", "name of the instance, unique in the deployment"},
    {"domain", FieldType::Name, "", "", 1, 64, "", "failure domain of the instance"},
    {"dataAddress", FieldType::Endpoint, "", "", 0, 0, "", "UDP, packets from fabric, upstreams and peers"},
    {"peerAddress", FieldType::Endpoint, "", "", 0, 0, "", "TCP, messages between instances"},
    {"adminAddress", FieldType::Endpoint, "", "", 0, 0, "", "TCP, administration API"},
    {"platform", FieldType::Endpoint, "", "", 0, 0, "", "object API of the platform"},
    {"fabricEgress", FieldType::Endpoint, "", "", 0, 0, "", "UDP, where packets to callers are sent"},
    {"seeds", FieldType::EndpointList, "", "[]", 0, 64, "", "peer addresses dialled before a plan is known"},
    {"hashKey", FieldType::Secret, "", "", 16, 16, "", "key of the flow hash, the same on all instances"},
    {"ticketKey", FieldType::Secret, "", "", 64, 64, "", "key of the ticket MAC"},
    {"log.level", FieldType::Choice, "", "\"info\"", 0, 0, "debug,info,warn,error", "least level that is logged"},
    {"limits.queuePerService", FieldType::Integer, "requests", "256", 1, 65'536, "", "length of the request queue of a service"},
    {"limits.flowTableCapacity", FieldType::Integer, "flows", "400000", 1'024, 16'777'216, "", "flows remembered, 8 bytes each"},
    {"limits.controlBytesPerSecond", FieldType::Integer, "bytes/s", "6000", 500, 10'000'000, "", "rate of messages to peers"},
    {"timers.heartbeatMs", FieldType::Integer, "ms", "500", 10, minuteMs, "", "interval between heartbeats"},
    {"timers.peerTimeoutMs", FieldType::Integer, "ms", "1000", 20, minuteMs, "", "silence after which a peer counts as dead"},
    {"timers.transitionLimitMs", FieldType::Integer, "ms", "2000", 20, minuteMs, "", "longest transition between plans"},
    {"timers.silenceTimeoutMs", FieldType::Integer, "ms", "10000", 100, hourMs, "", "one-sided traffic after which a flow is reset"},
    {"timers.flowIdleTimeoutMs", FieldType::Integer, "ms", "600000", 1'000, 24 * hourMs, "", "idle time after which a flow is forgotten"},
    {"timers.stopLimitMs", FieldType::Integer, "ms", "15000", 0, 10 * minuteMs, "", "longest graceful shutdown"},
}};
// clang-format on

void checkTimers(const SettingsView &settings, std::vector<Fault> &faults)
{
    const std::int64_t heartbeat = settings.integer("timers.heartbeatMs");
    const std::int64_t peerTimeout = settings.integer("timers.peerTimeoutMs");
    // A single lost heartbeat must not make a peer count as dead.
    if (peerTimeout < 2 * heartbeat)
        faults.push_back(Fault{"timers.peerTimeoutMs", "at least twice timers.heartbeatMs",
                               std::to_string(peerTimeout)});
    if (settings.integer("timers.transitionLimitMs") < peerTimeout)
        faults.push_back(Fault{"timers.transitionLimitMs", "at least timers.peerTimeoutMs",
                               std::to_string(settings.integer("timers.transitionLimitMs"))});
}

std::uint64_t parseHexadecimal(std::string_view digits)
{
    constexpr int base = 16;
    std::uint64_t number = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), number, base);
    return number;
}

InstanceLimits limitsOf(const SettingsView &settings)
{
    const auto number = [&](std::string_view path) {
        return static_cast<std::uint32_t>(settings.integer(path));
    };
    return InstanceLimits{number("limits.queuePerService"), number("limits.flowTableCapacity"),
                          number("limits.controlBytesPerSecond")};
}

InstanceTimers timersOf(const SettingsView &settings)
{
    InstanceTimers timers;
    timers.heartbeat = settings.milliseconds("timers.heartbeatMs");
    timers.peerTimeout = settings.milliseconds("timers.peerTimeoutMs");
    timers.transitionLimit = settings.milliseconds("timers.transitionLimitMs");
    timers.silenceTimeout = settings.milliseconds("timers.silenceTimeoutMs");
    timers.flowIdleTimeout = settings.milliseconds("timers.flowIdleTimeoutMs");
    timers.stopLimit = settings.milliseconds("timers.stopLimitMs");
    return timers;
}

InstanceSettings instanceSettings(const SettingsView &view)
{
    InstanceSettings settings;
    settings.deployment = view.text("deployment");
    settings.scope = view.text("scope");
    settings.name = view.text("name");
    settings.domain = view.text("domain");
    settings.dataAddress = view.endpoint("dataAddress");
    settings.peerAddress = view.endpoint("peerAddress");
    settings.adminAddress = view.endpoint("adminAddress");
    settings.platform = view.endpoint("platform");
    settings.fabricEgress = view.endpoint("fabricEgress");
    settings.seeds = view.endpoints("seeds");
    settings.hashKey = parseHexadecimal(view.text("hashKey"));
    const std::string ticketKey = view.text("ticketKey");
    for (std::size_t i = 0; i < settings.ticketKey.size(); ++i)
        settings.ticketKey.at(i) = static_cast<std::byte>(
            parseHexadecimal(std::string_view(ticketKey).substr(2 * i, 2)));
    settings.logLevel = view.text("log.level");
    settings.limits = limitsOf(view);
    settings.timers = timersOf(view);
    return settings;
}

} // namespace internal

SettingsReader InstanceSettings::reader()
{
    return SettingsReader(internal::instanceFields, internal::checkTimers);
}

boost::leaf::result<InstanceSettings> InstanceSettings::parse(std::string_view text)
{
    auto view = reader().read(text);
    if (!view)
        return view.error();
    return internal::instanceSettings(*view);
}

boost::leaf::result<InstanceSettings> InstanceSettings::load(const std::string &path)
{
    auto view = reader().readFile(path);
    if (!view)
        return view.error();
    return internal::instanceSettings(*view);
}

} // namespace bulrushgap
