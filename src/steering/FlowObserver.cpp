#include "steering/FlowObserver.h"

#include "steering/SequenceNumber.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bulrushgap::balance {

namespace internal {

constexpr Duration minHandshakeTimeout = std::chrono::milliseconds(14);
constexpr Duration defaultHandshakeTimeout = std::chrono::milliseconds(40);
constexpr Duration maxHandshakeTimeout = std::chrono::milliseconds(150);
constexpr int handshakeTimeoutFactor = 2;

/** Requests queue for a slot of the upstream, so a response may take several times the average. */
constexpr Duration minResponseTimeout = std::chrono::milliseconds(120);
constexpr int responseTimeoutFactor = 2;

/** A retransmission makes an upstream suspect only if it has answered no flow for this long. */
constexpr Duration retransmitSilence = std::chrono::milliseconds(80);

/** A new acknowledgment shows that the upstream is alive only if this instance saw the flow's
 * previous packet within this time; otherwise another instance may have forwarded the packets in
 * between, and the answer may be old. */
constexpr Duration maxFlowGap = std::chrono::milliseconds(400);
constexpr Duration maxRequestGap = std::chrono::milliseconds(1'200);

constexpr Duration flowIdleTimeout = std::chrono::seconds(20);
constexpr Duration attemptRetention = std::chrono::seconds(2);

} // namespace internal

FlowObserver::FlowObserver(std::size_t capacity, UpstreamDirectory &directory,
                           FailureDetector &detector, FlowObserverHooks hooks)
    : directory(directory)
    , detector(detector)
    , hooks(std::move(hooks))
    , flows(capacity, [this](const FlowId & /*flow*/, FlowState &state) {
        this->setUpstream(state, noUpstream);
    })
{}

void FlowObserver::onSynForwarded(const FlowId &id, FlowState *flow, UpstreamIndex upstream,
                                  TimePoint now)
{
    if (flow != nullptr) {
        std::rotate(flow->triedUpstreams.begin(), flow->triedUpstreams.end() - 1,
                    flow->triedUpstreams.end());
        flow->triedUpstreams.front() = upstream;
        flow->synSentAt = now;
        this->setUpstream(*flow, upstream);
    }
    this->attempts.add({id, upstream, now});
    this->detector.expectAnswer(upstream, now, this->handshakeTimeout());
}

void FlowObserver::onCallerReset(const FlowId &flow, TimePoint now)
{
    if (FlowState *state = this->flows.find(flow))
        this->endRequest(flow.route, *state, now);
    this->flows.remove(flow);
}

void FlowObserver::resetState(const FlowId &id, FlowState &flow, TimePoint now)
{
    this->endRequest(id.route, flow, now);
    this->setUpstream(flow, noUpstream);
    flow = FlowState{};
    flow.firstSeen = now;
}

void FlowObserver::observe(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                           TimePoint now)
{
    const Duration sinceLastPacket = now - std::exchange(flow.lastSeen, now);
    if (flow.upstream != upstream)
        this->setUpstream(flow, upstream);
    if (flow.established)
        this->observeAcknowledgment(packet, flow, upstream, sinceLastPacket, now);
    else
        this->observeHandshake(packet, flow, upstream, now);
    if (packet.fin) {
        this->endRequest(packet.route, flow, now);
        this->completeRequest(flow);
        this->setUpstream(flow, noUpstream);
    } else if (packet.dataBytes > 0) {
        this->observeRequest(packet, flow, upstream, now);
    }
}

void FlowObserver::observeHandshake(const FlowPacket &packet, FlowState &flow,
                                    UpstreamIndex upstream, TimePoint now)
{
    flow.established = true;
    flow.acknowledged = packet.acknowledged;
    flow.dataEnd = packet.sequence;
    const Duration time = now - flow.synSentAt;
    if (time >= internal::maxRequestGap)
        return;
    const bool isFirstSyn = flow.triedUpstreams[1] == noUpstream;
    if (isFirstSyn) {
        this->handshake.add(time);
        if (this->hooks.onHandshake)
            this->hooks.onHandshake(time);
    }
    this->attempts.removeCaller(FlowId{packet.caller, packet.route});
    this->detector.onAnswer(upstream, now);
}

void FlowObserver::observeAcknowledgment(const FlowPacket &packet, FlowState &flow,
                                         UpstreamIndex upstream, Duration sinceLastPacket,
                                         TimePoint now)
{
    if (!isAfter(packet.acknowledged, flow.acknowledged))
        return;
    flow.acknowledged = packet.acknowledged;
    if (flow.requestPending)
        flow.answerTime = now - flow.requestSentAt;
    const bool recent
        = sinceLastPacket < (flow.requestPending ? internal::maxRequestGap : internal::maxFlowGap);
    if (flow.requestPending && recent) {
        const Duration time = now - flow.requestSentAt;
        this->response.add(time);
        if (this->hooks.onResponse)
            this->hooks.onResponse(time);
    }
    this->completeRequest(flow);
    if (!recent)
        return;
    this->detector.onAnswer(upstream, now);
    std::optional<ColdReturn> &coldReturn = this->directory.at(upstream).coldReturn;
    const TimePoint openedAt = std::max(flow.firstSeen, flow.synSentAt);
    if (coldReturn && coldReturn->isDisprovedBy(openedAt, now - sinceLastPacket))
        coldReturn.reset();
}

void FlowObserver::observeRequest(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                                  TimePoint now)
{
    const std::uint32_t end = packet.sequence + packet.dataBytes;
    Upstream &subject = this->directory.at(upstream);
    if (!isAfter(end, flow.dataEnd)) {
        const bool upstreamSilent = now - subject.health.lastAnswer() > internal::retransmitSilence;
        if (flow.requestPending && upstreamSilent)
            this->detector.markSuspect(upstream, "data_repeated", now);
        return;
    }
    flow.dataEnd = end;
    if (!flow.requestPending) {
        this->endRequest(packet.route, flow, now);
        flow.requestPending = true;
        flow.requestOpen = true;
        flow.requestSentAt = now;
        flow.answerStart = flow.acknowledged;
        ++subject.outstanding;
        if (this->hooks.onOutcome && flow.objective > Duration::zero())
            this->lateRequests.add({packet.caller, packet.route}, now, flow.objective);
    }
    const Duration usual = internal::responseTimeoutFactor * this->response.upperBound();
    this->detector.expectAnswer(upstream, now, std::max(internal::minResponseTimeout, usual));
}

void FlowObserver::completeRequest(FlowState &flow)
{
    if (!flow.requestPending)
        return;
    flow.requestPending = false;
    if (flow.upstream != noUpstream)
        --this->directory.at(flow.upstream).outstanding;
}

void FlowObserver::endRequest(Endpoint route, FlowState &flow, TimePoint now)
{
    if (!std::exchange(flow.requestOpen, false) || !this->hooks.onOutcome)
        return;
    if (flow.requestPending) {
        this->report(route, flow, RequestOutcome::Unanswered, now - flow.requestSentAt);
        return;
    }
    const bool isShort = this->answerSizes.add(route, flow.acknowledged - flow.answerStart);
    this->report(route, flow, isShort ? RequestOutcome::Short : RequestOutcome::Answered,
                 flow.answerTime);
}

void FlowObserver::reportLate(TimePoint now, bool paused)
{
    this->lateRequests.takeDue(now, [&](const FlowId &id, TimePoint sentAt) {
        if (paused)
            return;
        FlowState *flow = this->flows.find(id);
        const bool waits = flow != nullptr && flow->requestPending && flow->requestSentAt == sentAt;
        if (!waits || !std::exchange(flow->requestOpen, false))
            return;
        this->report(id.route, *flow, RequestOutcome::Late, now - sentAt);
    });
}

void FlowObserver::report(Endpoint route, const FlowState &flow, RequestOutcome outcome,
                          Duration time)
{
    if (flow.upstream != noUpstream)
        this->hooks.onOutcome({flow.upstream, route, outcome, time});
}

void FlowObserver::setUpstream(FlowState &flow, UpstreamIndex upstream)
{
    if (flow.upstream == upstream)
        return;
    this->completeRequest(flow);
    if (flow.upstream != noUpstream)
        --this->directory.at(flow.upstream).openFlows;
    flow.upstream = upstream;
    if (upstream != noUpstream)
        ++this->directory.at(upstream).openFlows;
}

Duration FlowObserver::typicalHandshake() const
{
    return this->handshake.value(internal::minHandshakeTimeout);
}

Duration FlowObserver::handshakeTimeout() const
{
    if (!this->handshake.known())
        return internal::defaultHandshakeTimeout;
    const Duration usual = internal::handshakeTimeoutFactor * this->handshake.upperBound();
    return std::clamp(usual, internal::minHandshakeTimeout, internal::maxHandshakeTimeout);
}

void FlowObserver::removePendingIf(
    UpstreamIndex upstream,
    const std::function<bool(const FlowId &id, const FlowState &flow)> &visitor)
{
    std::vector<FlowId> ended;
    this->flows.visit([&](const FlowId &id, FlowState &flow) {
        if (flow.upstream == upstream && flow.requestPending && flow.established
            && visitor(id, flow))
            ended.push_back(id);
    });
    for (const FlowId &id : ended)
        this->flows.remove(id);
}

void FlowObserver::removeExpired(TimePoint now)
{
    this->flows.removeIdle(now - internal::flowIdleTimeout);
    this->attempts.removeOlderThan(now - internal::attemptRetention);
}

} // namespace bulrushgap::balance
