#include "plan/DomainObject.h"
#include "plan/InstanceObject.h"
#include "plan/JsonReader.h"
#include "plan/ServiceObject.h"
#include "plan/UpstreamObject.h"

#include <array>
#include <limits>

namespace bulrushgap {

namespace internal {

constexpr std::array<std::string_view, 2> instanceStates{"live", "leaving"};

template <typename Object>
boost::leaf::result<Object> finished(Object object, std::vector<ObjectFault> faults)
{
    if (!faults.empty())
        return boost::leaf::new_error(ObjectFaults{std::move(faults)});
    return object;
}

boost::json::object labelsToJson(const Labels &labels)
{
    boost::json::object object;
    for (const auto &[key, value] : labels)
        object.emplace(key, value);
    return object;
}

} // namespace internal

boost::leaf::result<ServiceObject> ServiceObject::fromJson(std::string_view name,
                                                           const boost::json::value &value)
{
    std::vector<ObjectFault> faults;
    internal::JsonReader reader(value, "$", faults);
    ServiceObject object;
    object.name = name;
    object.address = reader.endpoint("address");
    object.selector = reader.selector("selector");
    object.unknown = reader.unknown();
    return internal::finished(std::move(object), std::move(faults));
}

boost::json::value ServiceObject::toJson() const
{
    boost::json::object object = this->unknown;
    object["address"] = this->address.toString();
    object["selector"] = this->selector.toString();
    return object;
}

boost::leaf::result<UpstreamObject> UpstreamObject::fromJson(std::string_view name,
                                                             const boost::json::value &value)
{
    std::vector<ObjectFault> faults;
    internal::JsonReader reader(value, "$", faults);
    UpstreamObject object;
    object.name = name;
    object.address = reader.endpoint("address");
    object.domain = reader.text("domain");
    object.labels = reader.labels("labels");
    object.slots = static_cast<std::uint16_t>(
        reader.number("slots", 1, std::numeric_limits<std::uint16_t>::max(), 1));
    object.connections = static_cast<std::uint32_t>(
        reader.number("connections", 1, std::numeric_limits<std::uint32_t>::max(),
                      object.connections, internal::JsonReader::Presence::Optional));
    object.unknown = reader.unknown();
    return internal::finished(std::move(object), std::move(faults));
}

boost::json::value UpstreamObject::toJson() const
{
    boost::json::object object = this->unknown;
    object["address"] = this->address.toString();
    object["domain"] = this->domain;
    object["labels"] = internal::labelsToJson(this->labels);
    object["slots"] = this->slots;
    object["connections"] = this->connections;
    return object;
}

boost::leaf::result<DomainObject> DomainObject::fromJson(std::string_view name,
                                                         const boost::json::value &value)
{
    std::vector<ObjectFault> faults;
    internal::JsonReader reader(value, "$", faults);
    DomainObject object;
    object.name = name;
    object.labels = reader.labels("labels");
    object.unknown = reader.unknown();
    return internal::finished(std::move(object), std::move(faults));
}

boost::json::value DomainObject::toJson() const
{
    boost::json::object object = this->unknown;
    object["labels"] = internal::labelsToJson(this->labels);
    return object;
}

boost::leaf::result<InstanceObject> InstanceObject::fromJson(std::string_view name,
                                                             const boost::json::value &value)
{
    std::vector<ObjectFault> faults;
    internal::JsonReader reader(value, "$", faults);
    InstanceObject object;
    object.name = name;
    object.domain = reader.text("domain");
    object.peerAddress = reader.endpoint("peerAddress");
    object.dataAddress = reader.endpoint("dataAddress");
    object.bootId = reader.number("bootId", 0, std::numeric_limits<std::uint64_t>::max());
    object.leaving = reader.choice("state", internal::instanceStates) == 1;
    object.unknown = reader.unknown();
    return internal::finished(std::move(object), std::move(faults));
}

boost::json::value InstanceObject::toJson() const
{
    boost::json::object object = this->unknown;
    object["domain"] = this->domain;
    object["peerAddress"] = this->peerAddress.toString();
    object["dataAddress"] = this->dataAddress.toString();
    object["bootId"] = this->bootId;
    object["state"] = internal::instanceStates.at(this->leaving ? 1 : 0);
    return object;
}

} // namespace bulrushgap
