#include "peer/MessageEncoder.h"

#include "peer/FlowPacking.h"
#include "peer/MessageLimits.h"

#include <type_traits>

namespace bulrushgap::internal {

// The wire type of a message is its position in the variant plus one.
static_assert(std::variant_size_v<PeerMessage> == static_cast<int>(peerwire::Message::MAX));
static_assert(std::is_same_v<std::variant_alternative_t<4, PeerMessage>,
                             Digest> && static_cast<int>(peerwire::Message::Digest) == 5);
static_assert(std::is_same_v<std::variant_alternative_t<9, PeerMessage>,
                             Snapshot> && static_cast<int>(peerwire::Message::Snapshot) == 10);

peerwire::PlanId toWire(const PlanId &id)
{
    return {id.storeVersion, id.writer, id.overlay};
}

peerwire::Endpoint toWire(const Endpoint &endpoint)
{
    return {endpoint.address, endpoint.port};
}

Bytes MessageEncoder::encode(const PeerMessage &message)
{
    const auto body = std::visit([this](const auto &value) { return this->body(value); }, message);
    const auto type = static_cast<peerwire::Message>(message.index() + 1);
    this->builder.Finish(peerwire::CreatePeerMessage(this->builder, type, body));
    const auto bytes
        = std::as_bytes(std::span(this->builder.GetBufferPointer(), this->builder.GetSize()));
    return {bytes.begin(), bytes.end()};
}

void MessageEncoder::limit(std::size_t size, std::size_t maximum)
{
    this->withinLimits = this->withinLimits && size <= maximum;
}

auto MessageEncoder::text(std::string_view value) -> Offset<flatbuffers::String>
{
    this->limit(value.size(), nameLimit);
    return this->builder.CreateString(value.data(), value.size());
}

auto MessageEncoder::upstream(const PlanUpstream &value) -> Offset<peerwire::PlanUpstream>
{
    const auto address = toWire(value.address);
    return peerwire::CreatePlanUpstream(this->builder, value.id.value, this->text(value.name),
                                        &address, value.domain.value, value.weight, value.slots,
                                        static_cast<std::uint8_t>(value.state));
}

auto MessageEncoder::service(const PlanService &value) -> Offset<peerwire::PlanService>
{
    this->limit(value.upstreams.size(), upstreamLimit);
    std::vector<Offset<peerwire::PlanUpstream>> upstreams;
    for (const PlanUpstream &each : value.upstreams)
        upstreams.push_back(this->upstream(each));
    const auto address = toWire(value.address);
    const auto name = this->text(value.name);
    return peerwire::CreatePlanService(this->builder, value.id.value, name, &address,
                                       this->builder.CreateVector(upstreams));
}

auto MessageEncoder::instance(const PlanInstance &value) -> Offset<peerwire::PlanInstance>
{
    const auto peerAddress = toWire(value.peerAddress);
    const auto dataAddress = toWire(value.dataAddress);
    return peerwire::CreatePlanInstance(this->builder, value.id.value, this->text(value.name),
                                        value.domain.value, &peerAddress, &dataAddress,
                                        value.bootId, value.leaving);
}

auto MessageEncoder::plan(const Plan &value) -> Offset<peerwire::Plan>
{
    this->limit(value.domains.size(), domainLimit);
    this->limit(value.instances.size(), instanceLimit);
    this->limit(value.services.size(), serviceLimit);
    std::vector<Offset<peerwire::PlanDomain>> domains;
    for (const PlanDomain &each : value.domains)
        domains.push_back(peerwire::CreatePlanDomain(this->builder, each.id.value,
                                                     this->text(each.name), each.out));
    std::vector<Offset<peerwire::PlanInstance>> instances;
    for (const PlanInstance &each : value.instances)
        instances.push_back(this->instance(each));
    std::vector<Offset<peerwire::PlanService>> services;
    for (const PlanService &each : value.services)
        services.push_back(this->service(each));
    const auto id = toWire(value.id);
    const auto domainList = this->builder.CreateVector(domains);
    const auto instanceList = this->builder.CreateVector(instances);
    const auto serviceList = this->builder.CreateVector(services);
    return peerwire::CreatePlan(this->builder, &id, value.configVersion, domainList, instanceList,
                                serviceList);
}

auto MessageEncoder::flows(const std::vector<ServiceFlows> &value)
    -> ListOffset<peerwire::ServiceFlows>
{
    this->limit(value.size(), serviceLimit);
    std::vector<Offset<peerwire::ServiceFlows>> list;
    for (const ServiceFlows &each : value) {
        const auto packed = packFlows(each.flows);
        list.push_back(peerwire::CreateServiceFlows(this->builder, each.service.value,
                                                    this->builder.CreateVector(packed)));
    }
    return this->builder.CreateVector(list);
}

auto MessageEncoder::body(const Hello &message) -> Offset<void>
{
    const auto deployment = this->text(message.deployment);
    const auto scope = this->text(message.scope);
    const auto instance = this->text(message.instance);
    const auto domain = this->text(message.domain);
    const auto peerAddress = this->text(message.peerAddress);
    const auto dataAddress = this->text(message.dataAddress);
    return peerwire::CreateHello(this->builder, message.protocolVersion, deployment, scope,
                                 instance, domain, message.bootId, peerAddress, dataAddress)
        .Union();
}

auto MessageEncoder::body(const Heartbeat &message) -> Offset<void>
{
    this->limit(message.freeSlots.size(), serviceLimit);
    std::vector<peerwire::FreeSlots> slots;
    for (const FreeSlots &each : message.freeSlots)
        slots.emplace_back(each.service.value, each.count);
    const auto inForce = toWire(message.inForce);
    const auto newest = toWire(message.newest);
    return peerwire::CreateHeartbeat(this->builder, &inForce, &newest, message.leaving,
                                     message.platformReachable,
                                     this->builder.CreateVectorOfStructs(slots))
        .Union();
}

auto MessageEncoder::body(const PlanPush &message) -> Offset<void>
{
    return peerwire::CreatePlanPush(this->builder, this->plan(message.plan)).Union();
}

auto MessageEncoder::body(const PlanRequest &message) -> Offset<void>
{
    const auto known = toWire(message.known);
    return peerwire::CreatePlanRequest(this->builder, &known, message.snapshot).Union();
}

auto MessageEncoder::body(const Digest &message) -> Offset<void>
{
    const auto plan = toWire(message.plan);
    return peerwire::CreateDigest(this->builder, &plan, this->flows(message.services)).Union();
}

auto MessageEncoder::body(const Prepared &message) -> Offset<void>
{
    this->limit(message.inFlight.size(), upstreamLimit);
    std::vector<peerwire::InFlightCount> counts;
    for (const InFlightCount &each : message.inFlight)
        counts.emplace_back(each.service.value, each.upstream.value, each.count);
    const auto plan = toWire(message.plan);
    return peerwire::CreatePrepared(this->builder, &plan,
                                    this->builder.CreateVectorOfStructs(counts))
        .Union();
}

auto MessageEncoder::body(const Union &message) -> Offset<void>
{
    this->limit(message.groups.size(), groupLimit);
    const auto plan = toWire(message.plan);
    const auto groups = this->builder.CreateVector(message.groups);
    const auto flows = this->flows(message.services);
    return peerwire::CreateUnion(this->builder, &plan, groups, flows).Union();
}

auto MessageEncoder::body(const InForce &message) -> Offset<void>
{
    const auto plan = toWire(message.plan);
    return peerwire::CreateInForce(this->builder, &plan).Union();
}

auto MessageEncoder::body(const UpstreamStatus &message) -> Offset<void>
{
    return peerwire::CreateUpstreamStatus(this->builder, message.service.value,
                                          message.upstream.value, message.ejected, message.warmth)
        .Union();
}

auto MessageEncoder::body(const Snapshot &message) -> Offset<void>
{
    const auto plan = this->plan(message.plan);
    return peerwire::CreateSnapshot(this->builder, plan, this->flows(message.exceptions)).Union();
}

} // namespace bulrushgap::internal
