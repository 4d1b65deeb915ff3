#include "role/BalancerRole.h"

#include "platform/PacketCodec.h"
#include "role/ExplainEndpoint.h"
#include "role/PeerViewClient.h"
#include "service/AsioScheduler.h"

#include <boost/leaf/error.hpp>

#include <memory>
#include <random>
#include <utility>

namespace bulrushgap {

namespace internal {

/** A running upstream accepts a connection within a few milliseconds from any failure domain. */
constexpr Duration probeTimeout = std::chrono::milliseconds(110);

LogOptions logOptions(const BalancerSettings &settings, LogPipe &pipe)
{
    LogOptions options;
    options.linesPerSecond = settings.logLinesPerSecond;
    options.sink = [&pipe](LogLevel level, const std::string &line) {
        pipe.write("balancer", level, line);
    };
    return options;
}

HttpServerLimits serverLimits()
{
    HttpServerLimits limits;
    limits.bodyBytes = 1'024; // Requests to this server have no body.
    return limits;
}

balance::BalancerOptions makeOptions(const BalancerSettings &settings)
{
    return {{settings.name, settings.domain, settings.peerAddress, settings.linkMbps},
            settings.flowCapacity,
            settings.stopDelay,
            settings.firstStart,
            settings.seeds,
            settings.ejection,
            settings.learnedCapacity};
}

} // namespace internal

BalancerRole::BalancerRole(boost::asio::io_context &context, BalancerSettings settings,
                           LogPipe &pipe)
    : context(context)
    , settings(std::move(settings))
    , scheduler(asioScheduler(context))
    , log(internal::logOptions(this->settings, pipe))
    , random(std::random_device{}())
    , metrics(this->counters)
    , handshakeTime(this->metrics.addHistogram("handshake_time"))
    , responseTime(this->metrics.addHistogram("response_time"))
    , store(context, this->settings.store, this->counters)
    , prober(context, internal::probeTimeout)
    , balancer(internal::makeOptions(this->settings), this->scheduler, this->store, this->store,
               this->random, this->counters, this->log, this->hooks())
    , viewServer(context, this->settings.peerAddress, this->balancer.objectMirror(), this->counters,
                 {}, this->settings.ejection ? &this->balancer.outcomeSharing() : nullptr)
    , packetPort(
          context, this->settings.packetAddress, platform::upstreamIdBytes,
          platform::maxDatagramBytes,
          [this](std::span<std::byte> buffer, std::span<std::byte> datagram) {
              this->onDatagram(buffer, datagram);
          },
          [this] {
              this->batchTime.reset();
              this->balancer.scheduleTick();
          })
    , operationsServer(context, this->settings.readyAddress, internal::serverLimits())
{
    this->metrics.addGauge("readiness_is_withdrawn",
                           [this] { return this->balancer.isWithdrawn() ? 1.0 : 0.0; });
}

balance::BalancerHooks BalancerRole::hooks()
{
    balance::BalancerHooks result;
    result.probe = [this](Endpoint address, balance::BalancerHooks::ProbeHandler handler) {
        this->prober.probe(address, std::move(handler));
    };
    result.resetCaller = [this](const balance::FlowPacket &flow) {
        this->reset(flow);
    };
    result.connectPeer = [this](const balance::ViewSource &source) {
        return std::make_unique<PeerViewClient>(this->context, source.peer.value(), this->counters,
                                                PeerReadOptions::of(source));
    };
    result.connectOutcomes = [this](const balance::ViewSource &source) {
        return std::make_unique<PeerViewClient>(this->context, source.peer.value(), this->counters,
                                                PeerReadOptions::of(source));
    };
    result.onReady = [this](bool discardReceived) {
        this->packetPort.startReading(discardReceived);
    };
    result.onStopped = [this] {
        this->context.stop();
    };
    result.latency.onHandshake = [this](Duration time) {
        this->handshakeTime.record(time);
    };
    result.latency.onResponse = [this](Duration time) {
        this->responseTime.record(time);
    };
    return result;
}

boost::leaf::result<void> BalancerRole::start()
{
    this->log.info("start", {{"name", this->settings.name},
                             {"domain", this->settings.domain},
                             {"packets", this->settings.packetAddress.toString()},
                             {"store", this->settings.store.toString()},
                             {"version", BULRUSHGAP_VERSION}});
    this->metrics.addGauge("ejected_upstreams", [this] {
        return static_cast<double>(this->balancer.ejectedUpstreams());
    });
    this->metrics.addGauge("upstream_capacity_least",
                           [this] { return this->balancer.capacitySpread().least; });
    this->metrics.addGauge("upstream_capacity_mean",
                           [this] { return this->balancer.capacitySpread().mean; });
    this->metrics.addGauge("unreachable_domains", [this] {
        return static_cast<double>(this->balancer.unreachableDomains());
    });
    this->operationsServer.route("GET", "/-/ready",
                                 [this](const HttpRequestView &) { return this->readiness(); });
    this->operationsServer.route("GET", "/metrics",
                                 [this](const HttpRequestView &) { return this->renderMetrics(); });
    this->operationsServer.route("GET", "/explain", [this](const HttpRequestView &request) {
        return explainReply(request, [this](Endpoint route, std::optional<Endpoint> caller) {
            return this->balancer.explain(route, caller);
        });
    });
    BOOST_LEAF_CHECK(this->operationsServer.start());
    this->packetPort.open();
    BOOST_LEAF_CHECK(this->viewServer.start());
    this->balancer.start();
    return {};
}

void BalancerRole::reload(const BalancerSettings &next)
{
    const bool restart = next.packetAddress != this->settings.packetAddress
                         || next.readyAddress != this->settings.readyAddress
                         || next.peerAddress != this->settings.peerAddress
                         || next.name != this->settings.name
                         || next.domain != this->settings.domain;
    this->balancer.setStopDelay(next.stopDelay);
    this->log.setLinesPerSecond(next.logLinesPerSecond);
    if (next.store != this->settings.store)
        this->store.setAddress(next.store);
    this->settings.stopDelay = next.stopDelay;
    this->settings.logLinesPerSecond = next.logLinesPerSecond;
    this->settings.store = next.store;
    this->log.info("reload", {{"outcome", restart ? "names_or_addresses_need_restart" : "applied"},
                              {"store", next.store.toString()}});
}

void BalancerRole::logReloadFailure(std::string_view reason)
{
    this->log.warn("reload", {{"outcome", "refused"}, {"reason", reason}});
}

void BalancerRole::onDatagram(std::span<std::byte> buffer, std::span<std::byte> datagram)
{
    if (!this->batchTime)
        this->batchTime = this->scheduler.now();
    const auto packet = platform::decodePacket(datagram);
    if (!packet) {
        this->counters.refuse(RefusalReason::MalformedPacket);
        this->log.warn("packet_malformed", {{"bytes", datagram.size()}});
        return;
    }
    const balance::SteeringDecision decision
        = this->balancer.decide(*packet, datagram, *this->batchTime);
    if (decision.action == balance::SteeringDecision::Action::Forward)
        this->forward(decision, buffer, datagram);
    else if (decision.action == balance::SteeringDecision::Action::Reset)
        this->reset(*packet);
}

void BalancerRole::forward(const balance::SteeringDecision &decision, std::span<std::byte> buffer,
                           std::span<std::byte> datagram)
{
    const balance::Upstream &upstream = this->balancer.upstream(decision.upstream);
    platform::writeUpstreamId(buffer.first<platform::upstreamIdBytes>(), upstream.entry.wireId);
    if (decision.writeTag)
        platform::writeFlowTag(datagram, upstream.flowTag);
    this->packetPort.send(buffer, upstream.entry.address);
}

void BalancerRole::reset(const balance::FlowPacket &packet)
{
    const platform::ResetBytes bytes = platform::encodeReset(packet);
    this->packetPort.sendNow(bytes, {packet.caller.address, this->settings.packetAddress.port});
}

HttpReply BalancerRole::readiness() const
{
    HttpReply reply;
    reply.status = this->balancer.isReady() ? 200 : 503;
    reply.body = "{}";
    return reply;
}

HttpReply BalancerRole::renderMetrics() const
{
    HttpReply reply;
    reply.contentType = "text/plain; version=0.0.4";
    reply.body = this->metrics.render();
    for (std::size_t i = 0; i < static_cast<std::size_t>(balance::SteeringReason::Count); ++i) {
        const auto reason = static_cast<balance::SteeringReason>(i);
        reply.body += "bulrushgap_packets_total{decision=\"" + std::string(toString(reason))
                      + "\"} " + std::to_string(this->balancer.decisionCount(reason)) + '\n';
    }
    return reply;
}

} // namespace bulrushgap
