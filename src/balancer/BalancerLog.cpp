#include "balancer/BalancerLog.h"

#include "steering/FlowNames.h"

namespace bulrushgap::balance {

namespace internal {

std::string_view livenessCounter(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return "upstream_alive";
    case Liveness::Suspect:
        return "upstream_suspect";
    case Liveness::Refusing:
        return "upstream_refusing";
    case Liveness::Unreachable:
        return "upstream_unreachable";
    }
    return "upstream_alive";
}

std::string_view ejectionEvent(EjectionChange::Kind kind)
{
    switch (kind) {
    case EjectionChange::Kind::Ejected:
        return "upstream_ejected";
    case EjectionChange::Kind::OnTrial:
        return "upstream_on_trial";
    case EjectionChange::Kind::Reinstated:
        return "upstream_reinstated";
    }
    return "upstream_ejected";
}

} // namespace internal

BalancerLog::BalancerLog(BalancerLogContext context, Counters &counters, Log &log)
    : context(context)
    , counters(counters)
    , log(log)
{}

void BalancerLog::decision(const SteeringDecision &decision, const FlowPacket &packet,
                           std::span<const std::byte> datagram)
{
    const bool usual = decision.reason == SteeringReason::KnownUpstream;
    if (usual && packet.dataBytes == 0)
        return;
    const std::string_view request
        = packet.dataBytes > 0 ? findRequestId(datagram) : std::string_view();
    if (usual && request.empty())
        return;
    const std::string_view upstream
        = decision.upstream == noUpstream
              ? std::string_view("none")
              : std::string_view(this->context.directory.at(decision.upstream).entry.name);
    if (packet.syn) {
        const PlacementChoice &choice = this->context.steering.lastChoice();
        this->log.info("flow_placed", {{"flow", flowName(packet)},
                                       {"copy", packet.acknowledged},
                                       {"outcome", toString(decision.reason)},
                                       {"upstream", upstream},
                                       {"candidates", choice.candidates},
                                       {"score", choice.score},
                                       {"version", this->context.routes.version()}});
        return;
    }
    this->log.info(usual ? "request" : "packet_refused",
                   {{"flow", flowName(packet)},
                    {"request", request},
                    {"outcome", toString(decision.reason)},
                    {"upstream", upstream},
                    {"version", this->context.routes.version()}});
}

void BalancerLog::flowReset(const FlowPacket &flow, UpstreamIndex upstream)
{
    this->log.info("flow_reset", {{"flow", flowName(flow)},
                                  {"reason", "upstream_unreachable"},
                                  {"upstream", this->context.directory.at(upstream).entry.name},
                                  {"proof", this->proofOf(upstream)}});
}

void BalancerLog::livenessChange(UpstreamIndex upstream, Liveness before, std::string_view evidence)
{
    const Upstream &changed = this->context.directory.at(upstream);
    const Duration silence = this->context.scheduler.now() - changed.health.lastAnswer();
    const FailureDetector &detector = this->context.steering.failureDetector();
    this->counters.add(internal::livenessCounter(changed.health.liveness()));
    this->log.info("upstream_belief",
                   {{"upstream", changed.entry.name},
                    {"domain", changed.entry.domain},
                    {"before", toString(before)},
                    {"after", toString(changed.health.liveness())},
                    {"evidence", evidence},
                    {"last_answer_ms", toMilliseconds(silence)},
                    {"proof", this->proofOf(upstream)},
                    {"any_answer_ms", this->ageOf(detector.lastAnswer())},
                    {"reference_ms", this->ageOf(detector.lastConnectedProbeStart())},
                    {"flows", changed.openFlows}});
}

void BalancerLog::reachabilityChange(const ReachabilityChange &change)
{
    if (change.unreachable)
        this->counters.add("domain_unreachable");
    const std::string_view reachable = "reachable";
    const std::string_view unreachable = "unreachable";
    this->log.info("domain_reachability",
                   {{"domain", this->context.directory.domainName(change.domain)},
                    {"before", change.unreachable ? reachable : unreachable},
                    {"after", change.unreachable ? unreachable : reachable},
                    {"evidence", change.evidence},
                    {"failed", change.failedUpstreams},
                    {"last_answer_ms", this->ageOf(change.lastAnswer)}});
}

void BalancerLog::capacityChange(UpstreamIndex upstream, double before, double after)
{
    this->counters.add(after < before ? "capacity_lowered" : "capacity_raised");
    const UpstreamEntry &entry = this->context.directory.at(upstream).entry;
    this->log.info("upstream_capacity", {{"upstream", entry.name},
                                         {"service", entry.service},
                                         {"before", before},
                                         {"after", after}});
}

void BalancerLog::ejectionChange(const EjectionChange &change)
{
    const UpstreamEntry &entry = this->context.directory.at(change.upstream).entry;
    this->log.info(internal::ejectionEvent(change.kind),
                   {{"upstream", entry.name},
                    {"service", entry.service},
                    {"evidence", toString(change.evidence)},
                    {"failures", change.failures},
                    {"requests", change.requests},
                    {"service_share", change.serviceShare},
                    {"delay_ms", toMilliseconds(change.delay)}});
}

void BalancerLog::directoryChange(const DirectoryChange &change)
{
    const Upstream &changed = this->context.directory.at(change.upstream);
    const UpstreamEntry &entry = changed.entry;
    this->log.info("upstream_entry", {{"upstream", entry.name},
                                      {"change", toString(change.kind)},
                                      {"service", entry.service},
                                      {"domain", entry.domain},
                                      {"address", entry.address.toString()},
                                      {"revision", changed.revision.number},
                                      {"slow_start_ms", toMilliseconds(entry.slowStart)}});
}

void BalancerLog::connectivity(bool isolated)
{
    if (isolated)
        this->counters.add("instance_isolated");
    this->log.warn(
        "instance_connectivity",
        {{"after", isolated ? "isolated" : "connected"},
         {"any_answer_ms", this->ageOf(this->context.steering.failureDetector().lastAnswer())},
         {"age_ms", toMilliseconds(this->context.sourcedStore.age())}});
}

void BalancerLog::ready()
{
    this->log.info("ready", {{"upstreams", this->context.directory.registeredCount()},
                             {"routes", this->context.routes.size()},
                             {"version", this->context.routes.version()},
                             {"source", this->context.sources.current().toString()},
                             {"age_ms", toMilliseconds(this->context.sourcedStore.age())}});
}

void BalancerLog::status()
{
    this->log.info("status", {{"flows", this->context.steering.flowCount()},
                              {"upstreams", this->context.directory.registeredCount()},
                              {"version", this->context.routes.version()},
                              {"instances", this->context.sources.instances()},
                              {"direct", this->context.sourcedStore.isDirect() ? 1 : 0},
                              {"source", this->context.sources.current().toString()},
                              {"age_ms", toMilliseconds(this->context.sourcedStore.age())},
                              {"store_lists", this->counters.value("store_list")},
                              {"store_watches", this->counters.value("store_watch")},
                              {"store_writes", this->counters.value("store_write")},
                              {"probes", this->counters.value("probe")},
                              {"unreachable_domains",
                               this->context.steering.reachability().unreachableCount()}});
}

void BalancerLog::stop(Duration delay)
{
    this->log.info("stop", {{"flows", this->context.steering.flowCount()},
                            {"delay_ms", toMilliseconds(delay)}});
}

std::string_view BalancerLog::proofOf(UpstreamIndex upstream) const
{
    return toString(this->context.directory.at(upstream).health.proof());
}

std::int64_t BalancerLog::ageOf(TimePoint time) const
{
    return time == TimePoint{} ? -1 : toMilliseconds(this->context.scheduler.now() - time);
}

} // namespace bulrushgap::balance
