#include "plan/PlanJson.h"

#include "plan/JsonReader.h"

#include <algorithm>
#include <array>
#include <limits>

namespace bulrushgap {

namespace internal {

constexpr std::array<std::string_view, 3> upstreamStates{"active", "draining", "ejected"};

template <typename Integer>
Integer readInteger(JsonReader &reader, std::string_view key)
{
    return static_cast<Integer>(reader.number(key, 0, std::numeric_limits<Integer>::max()));
}

template <typename Id>
Id readId(JsonReader &reader, std::string_view key)
{
    return Id{readInteger<typename Id::ValueType>(reader, key)};
}

PlanDomain readDomain(JsonReader &reader)
{
    PlanDomain domain;
    domain.id = readId<DomainId>(reader, "id");
    domain.name = reader.text("name");
    domain.out = reader.flag("out");
    return domain;
}

PlanInstance readInstance(JsonReader &reader)
{
    PlanInstance instance;
    instance.id = readId<InstanceId>(reader, "id");
    instance.name = reader.text("name");
    instance.domain = readId<DomainId>(reader, "domain");
    instance.peerAddress = reader.endpoint("peerAddress");
    instance.dataAddress = reader.endpoint("dataAddress");
    instance.bootId = readInteger<std::uint64_t>(reader, "bootId");
    instance.leaving = reader.flag("leaving");
    return instance;
}

PlanUpstream readUpstream(JsonReader &reader)
{
    PlanUpstream upstream;
    upstream.id = readId<UpstreamId>(reader, "id");
    upstream.name = reader.text("name");
    upstream.address = reader.endpoint("address");
    upstream.domain = readId<DomainId>(reader, "domain");
    upstream.weight = static_cast<std::uint8_t>(reader.number("weight", 0, fullWeight));
    upstream.slots = readInteger<std::uint16_t>(reader, "slots");
    upstream.state = static_cast<UpstreamState>(reader.choice("state", upstreamStates));
    return upstream;
}

PlanService readService(JsonReader &reader)
{
    PlanService service;
    service.id = readId<ServiceId>(reader, "id");
    service.name = reader.text("name");
    service.address = reader.endpoint("address");
    reader.each("upstreams",
                [&](JsonReader &element) { service.upstreams.push_back(readUpstream(element)); });
    std::ranges::sort(service.upstreams, {}, &PlanUpstream::id);
    return service;
}

boost::json::value toJson(const PlanDomain &domain)
{
    return {{"id", domain.id.value}, {"name", domain.name}, {"out", domain.out}};
}

boost::json::value toJson(const PlanInstance &instance)
{
    return {{"id", instance.id.value},
            {"name", instance.name},
            {"domain", instance.domain.value},
            {"peerAddress", instance.peerAddress.toString()},
            {"dataAddress", instance.dataAddress.toString()},
            {"bootId", instance.bootId},
            {"leaving", instance.leaving}};
}

boost::json::value toJson(const PlanUpstream &upstream)
{
    return {{"id", upstream.id.value},
            {"name", upstream.name},
            {"address", upstream.address.toString()},
            {"domain", upstream.domain.value},
            {"weight", upstream.weight},
            {"slots", upstream.slots},
            {"state", upstreamStates.at(static_cast<std::size_t>(upstream.state))}};
}

boost::json::value toJson(const PlanService &service);

template <typename Range>
boost::json::array toArray(const Range &range)
{
    boost::json::array array;
    array.reserve(range.size());
    for (const auto &element : range)
        array.push_back(toJson(element));
    return array;
}

boost::json::value toJson(const PlanService &service)
{
    return {{"id", service.id.value},
            {"name", service.name},
            {"address", service.address.toString()},
            {"upstreams", toArray(service.upstreams)}};
}

} // namespace internal

boost::json::value planToJson(const Plan &plan, std::uint64_t writeId)
{
    return {{"writeId", writeId},
            {"writer", plan.id.writer},
            {"configVersion", plan.configVersion},
            {"domains", internal::toArray(plan.domains)},
            {"instances", internal::toArray(plan.instances)},
            {"services", internal::toArray(plan.services)}};
}

boost::leaf::result<StoredPlan> planFromJson(const boost::json::value &value,
                                             std::uint64_t storeVersion)
{
    std::vector<ObjectFault> faults;
    internal::JsonReader reader(value, "$", faults);
    StoredPlan stored;
    stored.writeId = internal::readInteger<std::uint64_t>(reader, "writeId");
    Plan &plan = stored.plan;
    plan.id = {storeVersion, 0, internal::readInteger<std::uint64_t>(reader, "writer")};
    plan.configVersion = internal::readInteger<std::uint64_t>(reader, "configVersion");
    reader.each("domains", [&](internal::JsonReader &element) {
        plan.domains.push_back(internal::readDomain(element));
    });
    reader.each("instances", [&](internal::JsonReader &element) {
        plan.instances.push_back(internal::readInstance(element));
    });
    reader.each("services", [&](internal::JsonReader &element) {
        plan.services.push_back(internal::readService(element));
    });
    if (!faults.empty())
        return boost::leaf::new_error(ObjectFaults{std::move(faults)});
    std::ranges::sort(plan.domains, {}, &PlanDomain::id);
    std::ranges::sort(plan.instances, {}, &PlanInstance::id);
    std::ranges::sort(plan.services, {}, &PlanService::id);
    return stored;
}

} // namespace bulrushgap
