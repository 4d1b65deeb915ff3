#include "steering/FlowObserver.h"

#include "steering/SequenceNumber.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace bulrushgap::balance {

namespace internal {

constexpr Duration handshakeFloor = std::chrono::milliseconds(14);
constexpr Duration handshakeDefault = std::chrono::milliseconds(40);
constexpr Duration handshakeCeiling = std::chrono::milliseconds(150);
constexpr int handshakeTimeoutFactor = 2;

/** Requests wait for a slot of the upstream, so their answer may take several times the usual. */
constexpr Duration requestFloor = std::chrono::milliseconds(120);
constexpr int requestTimeoutFactor = 2;

/** A repeated packet is evidence against an upstream that has answered nobody for this long. */
constexpr Duration repeatSilence = std::chrono::milliseconds(80);

/** What a caller acknowledges shows that the upstream lives only if this instance saw the flow a
 * moment ago: in between, another instance may have carried it on. */
constexpr Duration freshFlow = std::chrono::milliseconds(400);
constexpr Duration freshRequest = std::chrono::milliseconds(1'200);

constexpr Duration flowIdleTime = std::chrono::seconds(20);
constexpr Duration attemptMemory = std::chrono::seconds(2);

} // namespace internal

FlowObserver::FlowObserver(std::size_t capacity, UpstreamDirectory &directory,
                           FailureDetector &detector, FlowObserverHooks hooks)
    : directory(directory)
    , detector(detector)
    , hooks(std::move(hooks))
    , flows(capacity,
            [this](const FlowId & /*flow*/, FlowState &state) { this->moveTo(state, noUpstream); })
{}

void FlowObserver::placed(const FlowId &id, FlowState *flow, UpstreamIndex upstream, TimePoint now)
{
    if (flow != nullptr) {
        std::rotate(flow->tried.begin(), flow->tried.end() - 1, flow->tried.end());
        flow->tried.front() = upstream;
        flow->syncSentAt = now;
        this->moveTo(*flow, upstream);
    }
    this->attempts.add({id, upstream, now});
    this->detector.expectAnswer(upstream, now, this->handshakeTimeout());
}

void FlowObserver::restart(FlowState &flow, TimePoint now)
{
    this->moveTo(flow, noUpstream);
    flow = FlowState{};
    flow.firstSeen = now;
}

void FlowObserver::observe(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                           TimePoint now)
{
    const Duration unseen = now - std::exchange(flow.lastSeen, now);
    if (flow.upstream != upstream)
        this->moveTo(flow, upstream);
    if (flow.open)
        this->observeAnswer(packet, flow, upstream, unseen, now);
    else
        this->observeOpening(packet, flow, upstream, now);
    if (packet.fin) {
        this->endRequest(flow);
        this->moveTo(flow, noUpstream);
    } else if (packet.dataBytes > 0) {
        this->observeRequest(packet, flow, upstream, now);
    }
}

void FlowObserver::observeOpening(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                                  TimePoint now)
{
    flow.open = true;
    flow.acknowledged = packet.acknowledged;
    flow.dataEnd = packet.sequence;
    const Duration time = now - flow.syncSentAt;
    if (time >= internal::freshRequest)
        return;
    const bool firstSynAnswered = flow.tried[1] == noUpstream;
    if (firstSynAnswered) {
        this->handshake.add(time);
        if (this->hooks.onHandshake)
            this->hooks.onHandshake(time);
    }
    this->attempts.answered(FlowId{packet.caller, packet.route});
    this->detector.answered(upstream, now);
}

void FlowObserver::observeAnswer(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                                 Duration unseen, TimePoint now)
{
    if (!isAfter(packet.acknowledged, flow.acknowledged))
        return;
    flow.acknowledged = packet.acknowledged;
    const bool fresh = unseen < (flow.waiting ? internal::freshRequest : internal::freshFlow);
    if (flow.waiting && fresh) {
        const Duration time = now - flow.requestSentAt;
        this->response.add(time);
        if (this->hooks.onResponse)
            this->hooks.onResponse(time);
    }
    this->endRequest(flow);
    if (fresh)
        this->detector.answered(upstream, now);
}

void FlowObserver::observeRequest(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                                  TimePoint now)
{
    const std::uint32_t end = packet.sequence + packet.dataBytes;
    Upstream &subject = this->directory.at(upstream);
    if (!isAfter(end, flow.dataEnd)) {
        const bool silent = now - subject.health.lastAnswer() > internal::repeatSilence;
        if (flow.waiting && silent)
            this->detector.suspect(upstream, "data_repeated", now);
        return;
    }
    flow.dataEnd = end;
    if (!flow.waiting) {
        flow.waiting = true;
        flow.requestSentAt = now;
        ++subject.outstanding;
    }
    const Duration usual = internal::requestTimeoutFactor * this->response.upperBound();
    this->detector.expectAnswer(upstream, now, std::max(internal::requestFloor, usual));
}

void FlowObserver::endRequest(FlowState &flow)
{
    if (!flow.waiting)
        return;
    flow.waiting = false;
    if (flow.upstream != noUpstream)
        --this->directory.at(flow.upstream).outstanding;
}

void FlowObserver::moveTo(FlowState &flow, UpstreamIndex upstream)
{
    if (flow.upstream == upstream)
        return;
    this->endRequest(flow);
    if (flow.upstream != noUpstream)
        --this->directory.at(flow.upstream).openFlows;
    flow.upstream = upstream;
    if (upstream != noUpstream)
        ++this->directory.at(upstream).openFlows;
}

Duration FlowObserver::usualHandshake() const
{
    return this->handshake.value(internal::handshakeFloor);
}

Duration FlowObserver::handshakeTimeout() const
{
    if (!this->handshake.known())
        return internal::handshakeDefault;
    const Duration usual = internal::handshakeTimeoutFactor * this->handshake.upperBound();
    return std::clamp(usual, internal::handshakeFloor, internal::handshakeCeiling);
}

void FlowObserver::visitWaiting(
    UpstreamIndex upstream,
    const std::function<bool(const FlowId &id, const FlowState &flow)> &visitor)
{
    std::vector<FlowId> ended;
    this->flows.visit([&](const FlowId &id, FlowState &flow) {
        if (flow.upstream == upstream && flow.waiting && flow.open && visitor(id, flow))
            ended.push_back(id);
    });
    for (const FlowId &id : ended)
        this->flows.forget(id);
}

void FlowObserver::forgetOld(TimePoint now)
{
    this->flows.forgetIdle(now - internal::flowIdleTime);
    this->attempts.forgetOlderThan(now - internal::attemptMemory);
}

} // namespace bulrushgap::balance
