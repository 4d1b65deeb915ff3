#include "engine/FlowPath.h"

#include "packet/FlowHash.h"

#include <utility>

namespace bulrushgap {

FlowPath::FlowPath(const InstanceIdentity &identity, FlowRouter &router, const DomainGate &gate,
                   const KeyedHash &hash, FindUpstream findUpstream, Duration silenceTimeout,
                   Counters &counters)
    : identity(identity)
    , router(router)
    , gate(gate)
    , hash(hash)
    , findUpstream(std::move(findUpstream))
    , silenceTimeout(silenceTimeout)
    , counters(counters)
{}

void FlowPath::onCallerPacket(const Packet &packet, const Plan &plan, std::uint8_t arbiterHops,
                              TimePoint now, Actions &actions)
{
    const auto *service = plan.serviceAt(packet.flow.service);
    if (service == nullptr) {
        this->counters.refuse(RefusalReason::UnknownService);
        return;
    }
    const auto flow = flowHash(packet.flow, this->hash);
    const auto decision = this->router.route(service->id, flow, now, arbiterHops > 0);
    if (const auto *chosen = std::get_if<ToUpstream>(&decision)) {
        this->sendToUpstream(packet, *service, chosen->upstream, now, actions);
        if (packet.kind == PacketKind::FlowClose)
            this->router.close(service->id, flow);
    } else if (const auto *refused = std::get_if<Refuse>(&decision)) {
        this->reset(packet, refused->reason, actions);
    } else {
        this->relayToArbiter(packet, std::get<ToArbiter>(decision).instance, arbiterHops, actions);
    }
}

void FlowPath::relayToArbiter(const Packet &packet, InstanceId arbiter, std::uint8_t hops,
                              Actions &actions)
{
    if (hops >= maximalRelayHops) {
        this->counters.refuse(RefusalReason::HopLimit);
        return;
    }
    // The arbiter may be listed only in the plan that is being adopted.
    const auto *newest = this->router.newestPlan();
    const auto *receiver = newest != nullptr ? newest->instance(arbiter) : nullptr;
    if (receiver == nullptr) {
        this->counters.add("arbiter_unknown");
        return;
    }
    this->counters.add("relay_arbiter");
    const RelayHeader header{.kind = RelayKind::Arbiter,
                             .sender = this->identity.id.value_or(InstanceId{}),
                             .senderBoot = this->identity.bootId,
                             .receiverBoot = receiver->bootId,
                             .hops = static_cast<std::uint8_t>(hops + 1),
                             .relayId = this->nextRelayId++};
    actions.push_back(RelayPacket{.receiver = receiver->dataAddress,
                                  .header = header,
                                  .flow = packet.flow,
                                  .message = {packet.message.begin(), packet.message.end()}});
}

void FlowPath::onFeedItem(const Packet &packet, const Plan &plan, TimePoint now, Actions &actions)
{
    const auto *service = plan.serviceAt(packet.flow.service);
    if (service == nullptr) {
        this->counters.refuse(RefusalReason::UnknownService);
        return;
    }
    this->router.touch(service->id, flowHash(packet.flow, this->hash), now);
    actions.push_back(SendToCaller{.flow = packet.flow,
                                   .message = {packet.message.begin(), packet.message.end()}});
}

void FlowPath::sendToUpstream(const Packet &packet, const PlanService &service, UpstreamId id,
                              TimePoint now, Actions &actions)
{
    const auto *upstream = this->findUpstream(service.id, id);
    if (upstream == nullptr) {
        this->counters.refuse(RefusalReason::UpstreamGone);
        this->reset(packet, RefusalReason::UpstreamGone, actions);
        return;
    }
    if (this->isSilent(*upstream, service, now)) {
        this->counters.refuse(RefusalReason::SilentFlow);
        this->router.close(service.id, flowHash(packet.flow, this->hash));
        this->reset(packet, RefusalReason::SilentFlow, actions);
        return;
    }
    if (const auto refusal = this->gate.refusal(upstream->domain, now)) {
        this->counters.refuse(*refusal);
        this->reset(packet, *refusal, actions);
        return;
    }
    actions.push_back(SendToUpstream{.upstream = upstream->address,
                                     .flow = packet.flow,
                                     .message = {packet.message.begin(), packet.message.end()}});
}

bool FlowPath::isSilent(const PlanUpstream &newest, const PlanService &inForce, TimePoint now)
{
    if (!isEjected(newest, inForce)) {
        if (!this->ejections.empty())
            this->ejections.erase(newest.id);
        return false;
    }
    // After a longer gap between packets, the upstream may have been restored and ejected again.
    constexpr Duration maxPacketGap = std::chrono::seconds(5);
    auto &ejection = this->ejections.try_emplace(newest.id, Ejection{now, now}).first->second;
    if (now - ejection.lastPacket > maxPacketGap)
        ejection.since = now;
    ejection.lastPacket = now;
    return now - ejection.since >= this->silenceTimeout;
}

bool FlowPath::isEjected(const PlanUpstream &newest, const PlanService &inForce)
{
    // During the transition to a plan that restores the upstream, flows may already be placed on
    // it.
    const auto *current = bulrushgap::findUpstream(inForce, newest.id);
    return newest.state == UpstreamState::Ejected && current != nullptr
           && current->state == UpstreamState::Ejected;
}

void FlowPath::reset(const Packet &packet, RefusalReason reason, Actions &actions)
{
    // A flow without an upstream cannot continue; the reset makes the caller open a new one.
    if (reason != RefusalReason::UpstreamGone && reason != RefusalReason::DomainOut
        && reason != RefusalReason::SilentFlow)
        return;
    actions.push_back(
        ResetFlow{.flow = packet.flow, .message = {packet.message.begin(), packet.message.end()}});
}

} // namespace bulrushgap
