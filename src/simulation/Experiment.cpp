#include "simulation/Experiment.h"

#include "simulation/Run.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr std::string_view idempotentName = "idempotent";

// clang-format off
constexpr std::array<Field, 10> experimentFields{{
    {"domains", FieldType::Integer, "", "3", 1, 9, "", "failure domains"},
    {"instancesPerDomain", FieldType::Integer, "", "3", 1, 50, "", "instances in each domain"},
    {"instanceLinks", FieldType::ObjectList, "", "[]", 0, 50, "", "links of the instances of each domain, see the table of links; further instances have no limit"},
    {"lengthMs", FieldType::Integer, "ms", "30000", 1'000, 3'600'000, "", "time with load"},
    {"steadyHash", FieldType::Flag, "", "false", 0, 0, "", "the fabric moves only flows of instances that come or go"},
    {"services", FieldType::ObjectList, "", "", 1, 50, "", "services, see the table of a service"},
    {"classes", FieldType::ObjectList, "", "", 1, 50, "", "request classes, see the table of a class"},
    {"idleRoutes", FieldType::Integer, "", "0", 0, 100'000, "", "further routes of the configuration, without traffic"},
    {"faults", FieldType::ObjectList, "", "[]", 0, 1'000, "", "faults, see the table of a fault"},
    {"randomFaults", FieldType::Integer, "", "0", 0, 100, "", "so many more faults at random"},
}};

constexpr std::array<Field, 3> linkFields{{
    {"instances", FieldType::Integer, "", "1", 1, 50, "", "instances of each domain with such a link"},
    {"mbps", FieldType::Integer, "Mbit/s", "", 1, 100'000, "", "rate in each direction"},
    {"queueBytes", FieldType::Integer, "bytes", "256000", 1'500, 100'000'000, "", "datagrams that find more bytes waiting are lost"},
}};

constexpr std::array<Field, 5> serviceFields{{
    {"name", FieldType::Name, "", "", 1, 40, "", "name"},
    {"upstreamsPerDomain", FieldType::Integer, "", "4", 0, 1'000, "", "upstreams in each domain"},
    {"slots", FieldType::Integer, "", "2", 1, 1'000, "", "requests that an upstream runs at the same time"},
    {"coldRequestsPerSecond", FieldType::Number, "1/s", "0", 0, 1'000'000, "", "what a cold upstream bears; 0 for no limit"},
    {"connectionLimit", FieldType::Integer, "", "0", 0, 100'000, "", "requests at an upstream from which on it refuses probes; 0 for no limit"},
}};

constexpr std::array<Field, 12> classFields{{
    {"name", FieldType::Name, "", "", 1, 40, "", "name"},
    {"route", FieldType::Endpoint, "", "", 0, 0, "", "address that its callers connect to"},
    {"service", FieldType::Name, "", "", 1, 40, "", "service behind the route"},
    {"kind", FieldType::Choice, "", "\"idempotent\"", 0, 0, "idempotent,run-at-most-once", "what callers may repeat"},
    {"keepsFlow", FieldType::Flag, "", "false", 0, 0, "", "requests follow each other on open flows"},
    {"perSecond", FieldType::Number, "1/s", "10", 0, 100'000, "", "requests in each domain"},
    {"workMs", FieldType::Integer, "ms", "20", 0, 600'000, "", "time that an upstream needs"},
    {"requestBytes", FieldType::Integer, "bytes", "0", 0, 1'000'000, "", "body of a request"},
    {"answerBytes", FieldType::Integer, "bytes", "1000", 0, 10'000'000, "", "body of an answer"},
    {"aimMs", FieldType::Integer, "ms", "150", 1, 600'000, "", "time to an answer that satisfies its caller"},
    {"deadlineMs", FieldType::Integer, "ms", "1000", 1, 600'000, "", "time after which its caller gives up"},
    {"retries", FieldType::Integer, "", "2", 0, 10, "", "tries after the first"},
}};
// clang-format on

std::string_view faultNames()
{
    static const std::string names = [] {
        std::string text;
        for (std::size_t i = 0; i < static_cast<std::size_t>(FaultKind::Count); ++i)
            text += (i == 0 ? "" : ",") + std::string(toString(static_cast<FaultKind>(i)));
        return text;
    }();
    return names;
}

std::span<const Field> faultFields()
{
    // clang-format off
    static const std::array<Field, 5> fields{{
        {"kind", FieldType::Choice, "", "", 0, 0, faultNames(), "what happens"},
        {"atMs", FieldType::Integer, "ms", "", 0, 3'600'000, "", "when, from the start of the load"},
        {"durationMs", FieldType::Integer, "ms", "4000", 0, 3'600'000, "", "for how long"},
        {"share", FieldType::Number, "", "0.3", 0, 1, "", "of the instances or upstreams that it concerns"},
        {"domain", FieldType::Name, "", "\"\"", 0, 64, "", "of a fault of one failure domain; a random one if empty"},
    }};
    // clang-format on
    return fields;
}

/** \returns the entries of a list, each checked against \a fields; adds faults of others. */
std::vector<SettingsView> entries(const SettingsView &settings, std::string_view list,
                                  std::span<const Field> fields, std::vector<Fault> &faults)
{
    const SettingsReader reader(fields);
    std::vector<SettingsView> result;
    std::size_t index = 0;
    for (const boost::json::value &entry : settings.list(list)) {
        const std::string prefix = std::string(list) + '[' + std::to_string(index++) + "].";
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(view, reader.read(boost::json::serialize(entry)));
                result.push_back(std::move(view));
                return {};
            },
            [&](const SettingsFaults &error) {
                for (const Fault &fault : error.faults)
                    faults.push_back({prefix + fault.path, fault.expected, fault.found});
            },
            [&] {
                faults.push_back({prefix, "a valid entry", "an unknown fault"});
            });
    }
    return result;
}

RequestClass requestClassOf(const SettingsView &view)
{
    RequestClass result;
    result.name = view.text("name");
    result.route = view.endpoint("route");
    result.service = view.text("service");
    result.kind = view.text("kind") == idempotentName ? balance::RequestKind::Idempotent
                                                      : balance::RequestKind::RunAtMostOnce;
    result.keepsFlow = view.flag("keepsFlow");
    result.perSecond = view.number("perSecond");
    result.workTime = view.milliseconds("workMs");
    result.requestBytes = static_cast<std::size_t>(view.integer("requestBytes"));
    result.answerBytes = static_cast<std::size_t>(view.integer("answerBytes"));
    result.aim = view.milliseconds("aimMs");
    result.deadline = view.milliseconds("deadlineMs");
    result.retries = static_cast<unsigned>(view.integer("retries"));
    return result;
}

Experiment experimentOf(const SettingsView &settings, std::vector<Fault> &faults)
{
    Experiment result;
    for (std::int64_t number = 1; number <= settings.integer("domains"); ++number)
        result.run.domains.push_back("domain-" + std::to_string(number));
    result.run.instancesPerDomain = static_cast<unsigned>(settings.integer("instancesPerDomain"));
    result.run.length = settings.milliseconds("lengthMs");
    result.run.steadyHash = settings.flag("steadyHash");
    result.run.idleRoutes = static_cast<unsigned>(settings.integer("idleRoutes"));
    result.randomFaults = static_cast<std::size_t>(settings.integer("randomFaults"));
    for (const SettingsView &each : entries(settings, "instanceLinks", linkFields, faults))
        result.run.instanceLinks.push_back(
            {static_cast<unsigned>(each.integer("instances")),
             {static_cast<unsigned>(each.integer("mbps")),
              static_cast<std::size_t>(each.integer("queueBytes"))}});
    for (const SettingsView &each : entries(settings, "services", serviceFields, faults))
        result.run.services.push_back(
            {each.text("name"), static_cast<unsigned>(each.integer("upstreamsPerDomain")),
             static_cast<unsigned>(each.integer("slots")), each.number("coldRequestsPerSecond"),
             static_cast<unsigned>(each.integer("connectionLimit"))});
    for (const SettingsView &each : entries(settings, "classes", classFields, faults))
        result.run.classes.push_back(requestClassOf(each));
    for (const SettingsView &each : entries(settings, "faults", faultFields(), faults))
        result.faults.push_back({faultKindOf(each.text("kind")), each.milliseconds("atMs"),
                                 each.milliseconds("durationMs"), each.number("share"),
                                 each.text("domain")});
    return result;
}

void checkExperiment(const SettingsView &settings, std::vector<Fault> &faults)
{
    const Experiment experiment = experimentOf(settings, faults);
    if (!faults.empty())
        return; // Entries with faults are missing from the experiment.
    std::size_t links = 0;
    for (const InstanceLinks &alike : experiment.run.instanceLinks)
        links += alike.instances;
    if (links > experiment.run.instancesPerDomain)
        faults.push_back({"instanceLinks", "at most instancesPerDomain in all",
                          std::to_string(links) + " instances"});
    for (const RequestClass &each : experiment.run.classes) {
        const bool known
            = std::ranges::find(experiment.run.services, each.service, &ServiceSettings::name)
              != experiment.run.services.end();
        if (!known)
            faults.push_back({"classes", "names of services", "no service " + each.service});
    }
    const auto &domains = experiment.run.domains;
    for (const PlannedFault &each : experiment.faults) {
        const bool known
            = each.domain.empty() || std::ranges::find(domains, each.domain) != domains.end();
        if (!known)
            faults.push_back({"faults", "names of domains", "no domain " + each.domain});
    }
}

} // namespace internal

SettingsReader Experiment::reader()
{
    return SettingsReader(internal::experimentFields, internal::checkExperiment);
}

boost::leaf::result<Experiment> Experiment::parse(std::string_view text)
{
    BOOST_LEAF_AUTO(settings, Experiment::reader().read(text));
    std::vector<Fault> none; // The reader has found all faults.
    return internal::experimentOf(settings, none);
}

boost::leaf::result<Experiment> Experiment::load(const std::string &path)
{
    BOOST_LEAF_AUTO(settings, Experiment::reader().readFile(path));
    std::vector<Fault> none;
    return internal::experimentOf(settings, none);
}

std::vector<PlannedFault> Experiment::faultsFor(std::uint64_t seed) const
{
    std::vector<PlannedFault> all = this->faults;
    const std::vector<PlannedFault> random
        = simulation::randomFaults(this->run, this->randomFaults, seed);
    all.insert(all.end(), random.begin(), random.end());
    return all;
}

} // namespace bulrushgap::simulation
