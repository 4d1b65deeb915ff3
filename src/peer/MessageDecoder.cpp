#include "peer/MessageDecoder.h"

#include "peer/FlowPacking.h"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <functional>

namespace bulrushgap::internal {

/** \returns whether the ids are strictly ascending, which lookups in a plan rely on. */
template <typename Range>
bool hasAscendingIds(const Range &range)
{
    using Element = typename Range::value_type;
    return std::ranges::adjacent_find(range, std::greater_equal<>(), &Element::id) == range.end();
}

boost::leaf::result<PeerMessage> MessageDecoder::decode(std::span<const std::byte> bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<peerwire::PeerMessage>(nullptr))
        return boost::leaf::new_error(MessageError::Malformed);
    const auto &root = *flatbuffers::GetRoot<peerwire::PeerMessage>(data);
    if (root.message_type() > peerwire::Message::MAX)
        return boost::leaf::new_error(MessageError::Unsupported);
    if (root.message_type() == peerwire::Message::NONE || root.message() == nullptr)
        return boost::leaf::new_error(MessageError::Malformed);
    PeerMessage result = this->message(root);
    if (!this->good)
        return boost::leaf::new_error(MessageError::Malformed);
    return result;
}

PeerMessage MessageDecoder::message(const peerwire::PeerMessage &value)
{
    switch (value.message_type()) {
    case peerwire::Message::Hello:
        return this->body(*value.message_as_Hello());
    case peerwire::Message::Heartbeat:
        return this->body(*value.message_as_Heartbeat());
    case peerwire::Message::PlanPush:
        return this->body(*value.message_as_PlanPush());
    case peerwire::Message::PlanRequest:
        return this->body(*value.message_as_PlanRequest());
    case peerwire::Message::Digest:
        return this->body(*value.message_as_Digest());
    case peerwire::Message::Prepared:
        return this->body(*value.message_as_Prepared());
    case peerwire::Message::Union:
        return this->body(*value.message_as_Union());
    case peerwire::Message::InForce:
        return this->body(*value.message_as_InForce());
    case peerwire::Message::UpstreamStatus:
        return this->body(*value.message_as_UpstreamStatus());
    case peerwire::Message::Snapshot:
        return this->body(*value.message_as_Snapshot());
    case peerwire::Message::NONE:
        break;
    }
    this->good = false;
    return {};
}

bool MessageDecoder::charge(std::size_t count, std::size_t limit)
{
    if (!this->good || count > limit || count > this->remainingElements) {
        this->good = false;
        return false;
    }
    this->remainingElements -= count;
    return true;
}

std::string MessageDecoder::text(const flatbuffers::String *value)
{
    if (value == nullptr || value->size() > nameLimit) {
        this->good = false;
        return {};
    }
    return value->str();
}

PlanId MessageDecoder::planId(const peerwire::PlanId *value)
{
    if (value == nullptr) {
        this->good = false;
        return {};
    }
    return {value->storeVersion(), value->overlay(), value->writer()};
}

Endpoint MessageDecoder::endpoint(const peerwire::Endpoint *value)
{
    if (value == nullptr) {
        this->good = false;
        return {};
    }
    return {value->address(), value->port()};
}

PlanDomain MessageDecoder::domain(const peerwire::PlanDomain &value)
{
    return {DomainId{value.id()}, this->text(value.name()), value.isOut()};
}

PlanInstance MessageDecoder::instance(const peerwire::PlanInstance &value)
{
    PlanInstance result;
    result.id = InstanceId{value.id()};
    result.name = this->text(value.name());
    result.domain = DomainId{value.domain()};
    result.peerAddress = this->endpoint(value.peerAddress());
    result.dataAddress = this->endpoint(value.dataAddress());
    result.bootId = value.bootId();
    result.leaving = value.leaving();
    return result;
}

PlanUpstream MessageDecoder::upstream(const peerwire::PlanUpstream &value)
{
    this->require(value.weight() <= fullWeight);
    this->require(value.state() <= static_cast<std::uint8_t>(UpstreamState::Ejected));
    PlanUpstream result;
    result.id = UpstreamId{value.id()};
    result.name = this->text(value.name());
    result.address = this->endpoint(value.address());
    result.domain = DomainId{value.domain()};
    result.weight = value.weight();
    result.slots = value.slots();
    result.state = static_cast<UpstreamState>(value.state());
    return result;
}

PlanService MessageDecoder::service(const peerwire::PlanService &value)
{
    PlanService result;
    result.id = ServiceId{value.id()};
    result.name = this->text(value.name());
    result.address = this->endpoint(value.address());
    result.upstreams = this->list(value.upstreams(), upstreamLimit, &MessageDecoder::upstream);
    this->require(hasAscendingIds(result.upstreams));
    return result;
}

Plan MessageDecoder::plan(const peerwire::Plan *value)
{
    Plan result;
    if (value == nullptr) {
        this->good = false;
        return result;
    }
    result.id = this->planId(value->id());
    result.configVersion = value->configVersion();
    result.domains = this->list(value->domains(), domainLimit, &MessageDecoder::domain);
    result.instances = this->list(value->instances(), instanceLimit, &MessageDecoder::instance);
    result.services = this->list(value->services(), serviceLimit, &MessageDecoder::service);
    this->require(hasAscendingIds(result.domains));
    this->require(hasAscendingIds(result.instances));
    this->require(hasAscendingIds(result.services));
    return result;
}

ServiceFlows MessageDecoder::serviceFlows(const peerwire::ServiceFlows &value)
{
    ServiceFlows result{ServiceId{value.service()}, {}};
    const auto *packed = value.flows();
    if (packed == nullptr || !this->charge(packed->size() / packedFlowSize)) {
        this->good = false;
        return result;
    }
    auto flows = unpackFlows(std::span(packed->data(), packed->size()));
    this->require(flows.has_value());
    if (flows)
        result.flows = std::move(*flows);
    return result;
}

std::vector<ServiceFlows> MessageDecoder::flows(const List<peerwire::ServiceFlows> *value)
{
    return this->list(value, serviceLimit, &MessageDecoder::serviceFlows);
}

Hello MessageDecoder::body(const peerwire::Hello &value)
{
    Hello result;
    result.protocolVersion = value.protocolVersion();
    result.deployment = this->text(value.deployment());
    result.scope = this->text(value.scope());
    result.instance = this->text(value.instance());
    result.domain = this->text(value.domain());
    result.bootId = value.bootId();
    result.peerAddress = this->text(value.peerAddress());
    result.dataAddress = this->text(value.dataAddress());
    return result;
}

Heartbeat MessageDecoder::body(const peerwire::Heartbeat &value)
{
    Heartbeat result;
    result.inForce = this->planId(value.inForce());
    result.newest = this->planId(value.newest());
    result.leaving = value.leaving();
    result.platformReachable = value.platformReachable();
    if (value.freeSlots() != nullptr && this->charge(value.freeSlots()->size(), serviceLimit)) {
        for (const peerwire::FreeSlots *each : *value.freeSlots())
            result.freeSlots.push_back({ServiceId{each->service()}, each->count()});
    }
    return result;
}

PlanPush MessageDecoder::body(const peerwire::PlanPush &value)
{
    return {this->plan(value.plan())};
}

PlanRequest MessageDecoder::body(const peerwire::PlanRequest &value)
{
    return {this->planId(value.known()), value.snapshot()};
}

Digest MessageDecoder::body(const peerwire::Digest &value)
{
    return {this->planId(value.plan()), this->flows(value.services())};
}

Prepared MessageDecoder::body(const peerwire::Prepared &value)
{
    Prepared result{this->planId(value.plan()), {}};
    if (value.inFlight() != nullptr && this->charge(value.inFlight()->size(), upstreamLimit)) {
        for (const peerwire::InFlightCount *each : *value.inFlight())
            result.inFlight.push_back(
                {ServiceId{each->service()}, UpstreamId{each->upstream()}, each->count()});
    }
    return result;
}

Union MessageDecoder::body(const peerwire::Union &value)
{
    Union result{this->planId(value.plan()), {}, this->flows(value.services())};
    if (value.groups() != nullptr && this->charge(value.groups()->size(), groupLimit))
        result.groups.assign(value.groups()->begin(), value.groups()->end());
    this->require(
        std::ranges::all_of(result.groups, [](auto group) { return group < groupLimit; }));
    return result;
}

InForce MessageDecoder::body(const peerwire::InForce &value)
{
    return {this->planId(value.plan())};
}

UpstreamStatus MessageDecoder::body(const peerwire::UpstreamStatus &value)
{
    this->require(value.warmth() >= 1 && value.warmth() <= fullWeight);
    return {ServiceId{value.service()}, UpstreamId{value.upstream()}, value.ejected(),
            value.warmth()};
}

Snapshot MessageDecoder::body(const peerwire::Snapshot &value)
{
    return {this->plan(value.plan()), this->flows(value.exceptions())};
}

} // namespace bulrushgap::internal
