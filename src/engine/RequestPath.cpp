#include "engine/RequestPath.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

namespace internal {

MessageBytes copyOf(std::span<const std::byte> message)
{
    return {message.begin(), message.end()};
}

AnswerOutcome outcomeOf(const Packet &packet)
{
    if (packet.kind == PacketKind::Shed)
        return AnswerOutcome::Shed;
    return packet.serverError ? AnswerOutcome::ServerError : AnswerOutcome::Success;
}

} // namespace internal

RequestPath::RequestPath(const InstanceIdentity &identity, const RequestSettings &settings,
                         AdmissionController &admission, TicketIssuer &issuer,
                         RequestLedger &ledger, LiveBoot liveBoot, Counters &counters)
    : identity(identity)
    , settings(settings)
    , admission(admission)
    , issuer(issuer)
    , ledger(ledger)
    , liveBoot(std::move(liveBoot))
    , counters(counters)
{}

void RequestPath::onRequest(const Packet &packet, const Plan &plan, const RelayHeader *header,
                            TimePoint now, Actions &actions)
{
    const auto *service = plan.serviceAt(packet.flow.service);
    if (service == nullptr) {
        this->counters.refuse(RefusalReason::UnknownService);
        return;
    }
    if (header != nullptr && header->kind == RelayKind::Admission) {
        auto request = this->makeRequest(packet, service->id, now);
        request.hops = header->hops;
        if (!packet.idempotent)
            request.origin = RelayOrigin{header->sender, header->senderBoot, header->relayId};
        this->admit(std::move(request), plan, now, actions);
        return;
    }
    if (packet.idempotent)
        this->admit(this->makeRequest(packet, service->id, now), plan, now, actions);
    else
        this->onTicketRequest(packet, plan, *service, header, now, actions);
}

void RequestPath::onTicketRequest(const Packet &packet, const Plan &plan,
                                  const PlanService &service, const RelayHeader *header,
                                  TimePoint now, Actions &actions)
{
    if (packet.ticket.empty()) {
        this->challenge(packet, service.id, now, actions);
        return;
    }
    const TicketBinding binding{packet.flow, packet.token};
    const auto check = this->issuer.verify(packet.ticket, binding, service.id, now);
    switch (check.status) {
    case TicketStatus::Valid:
        this->onValidTicket(packet, plan, service, check.ticket, now, actions);
        return;
    case TicketStatus::ForeignIssuer:
        if (header == nullptr)
            this->relayToIssuer(packet, plan, check.ticket, actions);
        else
            this->counters.refuse(RefusalReason::HopLimit);
        return;
    case TicketStatus::Expired: {
        const RequestKey key{packet.flow, packet.token, check.ticket.nonce};
        if (this->ledger.contains(key))
            this->resendOutcome(packet, this->ledger.find(key), actions);
        else
            this->refuse(packet, Verdict::NotRun, RefusalReason::TicketExpired, actions);
        return;
    }
    // The state of the ticket is unknown, so the request may have run with it.
    case TicketStatus::IssuerRestarted:
        this->refuse(packet, Verdict::MayHaveRun, RefusalReason::TicketIssuerGone, actions);
        return;
    case TicketStatus::RecordExpired:
        this->refuse(packet, Verdict::MayHaveRun, RefusalReason::TicketExpired, actions);
        return;
    case TicketStatus::Invalid:
        this->refuse(packet, Verdict::MayHaveRun, RefusalReason::TicketInvalid, actions);
        return;
    }
}

void RequestPath::challenge(const Packet &packet, ServiceId service, TimePoint now,
                            Actions &actions)
{
    if (this->stopping) {
        this->refuse(packet, Verdict::NotRun, RefusalReason::Stopping, actions);
        return;
    }
    this->counters.refuse(RefusalReason::TicketMissing);
    const auto ticket = this->issuer.issue({packet.flow, packet.token}, service, now);
    this->lastTicketExpiry = now + this->settings.ticketValidity;
    actions.push_back(ChallengeCaller{.flow = packet.flow,
                                      .message = internal::copyOf(packet.message),
                                      .ticket = {ticket.begin(), ticket.end()}});
}

void RequestPath::onValidTicket(const Packet &packet, const Plan &plan, const PlanService &service,
                                const Ticket &ticket, TimePoint now, Actions &actions)
{
    const RequestKey key{packet.flow, packet.token, ticket.nonce};
    // The same request must not run concurrently under a second ticket.
    const auto *held = this->pending.find(packet.flow, packet.token);
    if (held != nullptr && held->record && *held->record != key) {
        this->counters.add("request_second_ticket");
        return;
    }
    const auto reply = this->ledger.begin(key, this->issuer.recordExpiry(ticket), now);
    if (reply.outcome == LedgerOutcome::Full) {
        this->refuse(packet, Verdict::NotRun, RefusalReason::QueueFull, actions);
        return;
    }
    if (reply.outcome != LedgerOutcome::Started) {
        this->resendOutcome(packet, reply, actions);
        return;
    }
    auto request = this->makeRequest(packet, service.id, now);
    request.record = key;
    this->admit(std::move(request), plan, now, actions);
}

void RequestPath::resendOutcome(const Packet &packet, const LedgerReply &reply, Actions &actions)
{
    this->counters.add("request_duplicate");
    switch (reply.outcome) {
    case LedgerOutcome::Answered:
        for (const auto &part : reply.parts) {
            actions.push_back(
                SendToCaller{.flow = packet.flow, .message = part, .token = packet.token});
        }
        return;
    case LedgerOutcome::AnswerDiscarded:
        this->refuse(packet, Verdict::MayHaveRun, RefusalReason::UpstreamFailed, actions);
        return;
    case LedgerOutcome::Refused:
        this->refuse(packet, reply.verdict, reply.reason, actions);
        return;
    case LedgerOutcome::Started:
    case LedgerOutcome::Full:
    case LedgerOutcome::InProgress:
        return;
    }
}

void RequestPath::relayToIssuer(const Packet &packet, const Plan &plan, const Ticket &ticket,
                                Actions &actions)
{
    const auto *issuingInstance = plan.instance(ticket.issuer);
    const auto boot = this->liveBoot(ticket.issuer);
    if (issuingInstance == nullptr || !boot || *boot != ticket.issuerBoot) {
        this->refuse(packet, Verdict::MayHaveRun, RefusalReason::TicketIssuerGone, actions);
        return;
    }
    this->counters.add("relay_ticket");
    actions.push_back(RelayPacket{.receiver = issuingInstance->dataAddress,
                                  .header = this->header(RelayKind::Ticket, *boot, 0, 1),
                                  .flow = packet.flow,
                                  .message = internal::copyOf(packet.message)});
}

PendingRequest RequestPath::makeRequest(const Packet &packet, ServiceId service,
                                        TimePoint now) const
{
    const auto remaining = packet.deadline.value_or(this->settings.defaultDeadline);
    PendingRequest request;
    request.flow = packet.flow;
    request.token = packet.token;
    request.service = service;
    request.idempotent = packet.idempotent;
    request.deadline = now + std::min(remaining, this->settings.maximalDeadline);
    request.message = internal::copyOf(packet.message);
    return request;
}

void RequestPath::admit(PendingRequest request, const Plan &plan, TimePoint now, Actions &actions)
{
    auto *held = this->pending.add(std::move(request));
    if (held == nullptr) {
        this->counters.add("request_duplicate");
        return;
    }
    const AdmissionRequest admissionRequest{.handle = held->handle,
                                            .service = held->service,
                                            .idempotent = held->idempotent,
                                            .deadline = held->deadline,
                                            .hops = held->hops};
    const auto decision = this->admission.admit(admissionRequest, now);
    this->applyDecision(decision, held->handle, plan, now, actions);
}

void RequestPath::applyDecision(const AdmissionDecision &decision, std::uint64_t handle,
                                const Plan &plan, TimePoint now, Actions &actions)
{
    auto *request = this->pending.find(handle);
    if (request == nullptr)
        return;
    if (const auto *order = std::get_if<Dispatch>(&decision))
        this->dispatch(*request, *order, plan, now, actions);
    else if (const auto *relay = std::get_if<RelayTo>(&decision))
        this->relayForAdmission(*request, relay->instance, plan, actions);
    else if (const auto *refused = std::get_if<Refused>(&decision))
        this->refusePending(*request, refused->verdict, refused->reason, plan, actions);
}

void RequestPath::onEvents(std::span<const AdmissionEvent> events, const Packet *answer,
                           const Plan &plan, TimePoint now, Actions &actions)
{
    for (const auto &event : events) {
        auto *request
            = this->pending.find(std::visit([](const auto &value) { return value.handle; }, event));
        if (request == nullptr)
            continue;
        if (const auto *order = std::get_if<Dispatch>(&event))
            this->dispatch(*request, *order, plan, now, actions);
        else if (const auto *refused = std::get_if<RequestRefused>(&event))
            this->refusePending(*request, refused->verdict, refused->reason, plan, actions);
        else if (const auto *relayed = std::get_if<RequestRelayed>(&event))
            this->relayForAdmission(*request, relayed->instance, plan, actions);
        else if (std::holds_alternative<AnswerAccepted>(event) && answer != nullptr)
            this->deliverPart(*request, *answer, plan, now, actions);
        else if (const auto *retry = std::get_if<RetryScheduled>(&event);
                 retry != nullptr && request->record && retry->reason == RetryReason::Shed)
            this->ledger.markRequeued(*request->record, NotRunProof::UpstreamShed);
    }
}

void RequestPath::dispatch(PendingRequest &request, const Dispatch &order, const Plan &plan,
                           TimePoint now, Actions &actions)
{
    const auto *service = plan.service(request.service);
    const auto *upstream = service != nullptr ? findUpstream(*service, order.upstream) : nullptr;
    if (upstream == nullptr) {
        this->counters.add("invariant_dispatch_outside_plan");
        this->counters.refuse(RefusalReason::UpstreamGone);
        this->refusePending(request, Verdict::NotRun, RefusalReason::UpstreamGone, plan, actions);
        return;
    }
    if (request.record)
        this->ledger.markDispatched(*request.record);
    request.dispatched = order.id;
    request.upstream = upstream->address;
    request.parts.clear();
    actions.push_back(SendToUpstream{.upstream = upstream->address,
                                     .flow = request.flow,
                                     .message = request.message,
                                     .token = order.id.toToken(),
                                     .deadline = request.deadline - now});
}

void RequestPath::relayForAdmission(PendingRequest &request, InstanceId owner, const Plan &plan,
                                    Actions &actions)
{
    const auto *receiver = plan.instance(owner);
    if (receiver == nullptr) {
        this->counters.refuse(RefusalReason::NoUpstream);
        this->refusePending(request, Verdict::NotRun, RefusalReason::NoUpstream, plan, actions);
        return;
    }
    const auto hops = static_cast<std::uint8_t>(request.hops + 1);
    auto header = this->header(RelayKind::Admission, receiver->bootId, request.handle, hops);
    if (request.origin) {
        header.sender = request.origin->sender;
        header.senderBoot = request.origin->senderBoot;
        header.relayId = request.origin->relayId;
    }
    this->counters.add("relay_admission");
    actions.push_back(RelayPacket{.receiver = receiver->dataAddress,
                                  .header = header,
                                  .flow = request.flow,
                                  .message = request.message});
    if (!request.record) {
        this->pending.remove(request.handle);
        return;
    }
    this->ledger.markDispatched(*request.record);
    request.relayed = true;
}

void RequestPath::refusePending(PendingRequest &request, Verdict verdict, RefusalReason reason,
                                const Plan &plan, Actions &actions)
{
    const auto proof = verdict == Verdict::NotRun ? NotRunProof::UpstreamShed : NotRunProof::None;
    if (request.record && !this->ledger.markRefused(*request.record, reason, verdict, proof))
        verdict = Verdict::MayHaveRun;
    const auto *recordHolder = request.origin ? plan.instance(request.origin->sender) : nullptr;
    if (recordHolder != nullptr) {
        actions.push_back(
            RelayRefusal{.receiver = recordHolder->dataAddress,
                         .header = this->header(RelayKind::Issuer, request.origin->senderBoot,
                                                request.origin->relayId, 1),
                         .flow = request.flow,
                         .message = request.message,
                         .verdict = verdict,
                         .reason = reason});
    } else {
        actions.push_back(RefuseToCaller{.flow = request.flow,
                                         .message = request.message,
                                         .verdict = verdict,
                                         .reason = reason});
    }
    this->pending.remove(request.handle);
}

void RequestPath::onAnswer(const Packet &packet, const Plan &plan, const RelayHeader *header,
                           TimePoint now, Actions &actions)
{
    const auto id = DispatchId::fromToken(packet.token);
    if (!id) {
        this->counters.refuse(RefusalReason::MalformedPacket);
        return;
    }
    if (this->isOwnDispatch(*id)) {
        const auto events = this->admission.onAnswer(*id, internal::outcomeOf(packet),
                                                     packet.lastPart, packet.load, now);
        this->onEvents(events, &packet, plan, now, actions);
        return;
    }
    const auto *dispatcher = plan.instance(id->instance);
    if (header != nullptr || dispatcher == nullptr
        || id->bootTag != static_cast<std::uint16_t>(dispatcher->bootId)) {
        this->counters.add("answer_orphaned");
        return;
    }
    this->counters.add("relay_dispatcher");
    actions.push_back(
        RelayPacket{.receiver = dispatcher->dataAddress,
                    .header = this->header(RelayKind::Dispatcher, dispatcher->bootId, 0, 1),
                    .flow = packet.flow,
                    .towardsCaller = true,
                    .message = internal::copyOf(packet.message)});
}

void RequestPath::deliverPart(PendingRequest &request, const Packet &packet, const Plan &plan,
                              TimePoint now, Actions &actions)
{
    if (packet.flow != request.flow) {
        this->counters.refuse(RefusalReason::ServiceMismatch);
        return;
    }
    auto message = internal::copyOf(packet.message);
    const auto *recordHolder = request.origin ? plan.instance(request.origin->sender) : nullptr;
    if (recordHolder != nullptr) {
        actions.push_back(
            RelayPacket{.receiver = recordHolder->dataAddress,
                        .header = this->header(RelayKind::Issuer, request.origin->senderBoot,
                                               request.origin->relayId, 1),
                        .flow = request.flow,
                        .towardsCaller = true,
                        .message = std::move(message),
                        .token = request.token});
    } else {
        if (request.record)
            this->ledger.addAnswerPart(*request.record, packet.part, packet.lastPart,
                                       packet.message);
        actions.push_back(SendToCaller{
            .flow = request.flow, .message = std::move(message), .token = request.token});
    }
    this->recordPart(request, packet, now);
}

void RequestPath::recordPart(PendingRequest &request, const Packet &packet, TimePoint now)
{
    request.parts.add(packet.part, packet.lastPart);
    if (request.parts.complete())
        this->pending.remove(request.handle);
    else if (packet.lastPart)
        request.removeAt = now + this->settings.latePartTimeout;
}

void RequestPath::onRelayedOutcome(const Packet &packet, const RelayHeader &header, TimePoint now,
                                   Actions &actions)
{
    auto *request = this->pending.find(header.relayId);
    if (request == nullptr || !request->record || packet.flow != request->flow) {
        this->counters.add("answer_orphaned");
        return;
    }
    if (packet.kind == PacketKind::Shed) {
        this->ledger.markRefused(*request->record, RefusalReason::Overloaded, Verdict::NotRun,
                                 NotRunProof::DispatcherRefused);
        this->counters.refuse(RefusalReason::Overloaded);
    } else {
        this->ledger.addAnswerPart(*request->record, packet.part, packet.lastPart, packet.message);
    }
    actions.push_back(SendToCaller{.flow = request->flow,
                                   .message = internal::copyOf(packet.message),
                                   .token = request->token});
    this->recordPart(*request, packet, now);
}

void RequestPath::onCancel(const Packet &packet, const Plan &plan, const RelayHeader *header,
                           TimePoint now, Actions &actions)
{
    auto *request = this->pending.find(packet.flow, packet.token);
    if (request == nullptr || request->relayed) {
        // Any instance may hold the request, and only that instance can cancel it.
        if (header != nullptr)
            return;
        for (const auto &instance : plan.instances) {
            if (instance.id == this->identity.id)
                continue;
            actions.push_back(
                RelayPacket{.receiver = instance.dataAddress,
                            .header = this->header(RelayKind::Ticket, instance.bootId, 0, 1),
                            .flow = packet.flow,
                            .message = internal::copyOf(packet.message)});
        }
        return;
    }
    if (request->dispatched) {
        actions.push_back(SendToUpstream{.upstream = request->upstream,
                                         .flow = packet.flow,
                                         .message = internal::copyOf(packet.message),
                                         .token = request->dispatched->toToken()});
    }
    const auto events = this->admission.cancel(request->handle, now);
    this->onEvents(events, nullptr, plan, now, actions);
}

void RequestPath::tick(const Plan &plan, TimePoint now, Actions &actions)
{
    this->onEvents(this->admission.tick(now), nullptr, plan, now, actions);
    for (const auto handle : this->pending.expiredRelays(now)) {
        auto *request = this->pending.find(handle);
        this->counters.refuse(RefusalReason::Deadline);
        this->refusePending(*request, Verdict::MayHaveRun, RefusalReason::Deadline, plan, actions);
    }
    this->pending.removeExpired(now);
    this->ledger.expire(now);
}

bool RequestPath::drained(TimePoint now) const
{
    return this->pending.size() == 0 && this->admission.drained() && now >= this->lastTicketExpiry;
}

void RequestPath::refuse(const Packet &packet, Verdict verdict, RefusalReason reason,
                         Actions &actions)
{
    this->counters.refuse(reason);
    actions.push_back(RefuseToCaller{.flow = packet.flow,
                                     .message = internal::copyOf(packet.message),
                                     .verdict = verdict,
                                     .reason = reason});
}

RelayHeader RequestPath::header(RelayKind kind, std::uint64_t receiverBoot, std::uint64_t relayId,
                                std::uint8_t hops) const
{
    return {.kind = kind,
            .sender = this->identity.id.value_or(InstanceId{}),
            .senderBoot = this->identity.bootId,
            .receiverBoot = receiverBoot,
            .hops = hops,
            .relayId = relayId};
}

bool RequestPath::isOwnDispatch(const DispatchId &id) const
{
    return id.instance == this->identity.id
           && id.bootTag == static_cast<std::uint16_t>(this->identity.bootId);
}

} // namespace bulrushgap
