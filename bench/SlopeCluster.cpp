#include "SlopeCluster.h"

#include "peer/MessageCodec.h"

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace bulrushgap::bench {

using namespace std::chrono_literals;

constexpr std::size_t lengthPrefix = 4;
constexpr Duration linkDelay = 500us;
constexpr Duration tickInterval = 20ms;
constexpr Duration changeLimit = 10s;

std::optional<std::size_t> encodedBytes(const PeerMessage &message)
{
    const auto bytes = MessageCodec::encode(message);
    return bytes ? std::optional(bytes->size() + lengthPrefix) : std::nullopt;
}

SlopeCluster::SlopeCluster(const Plan &plan, std::uint64_t seed)
{
    FlowRouterOptions options;
    options.store.capacity = 4'000'000;
    for (const PlanInstance &instance : plan.instances) {
        Node &node = this->nodes[instance.id];
        node.counters = std::make_unique<Counters>();
        node.router
            = std::make_unique<FlowRouter>(instance.id, instance.bootId, options, KeyedHash(seed),
                                           *node.counters, TransitionHooks{});
        FlowRouter::Outbox out;
        node.router->loadSnapshot({plan, {}}, this->now, out);
    }
}

void SlopeCluster::openFlows(std::size_t count, Random &random)
{
    for (std::size_t i = 0; i < count; ++i) {
        const std::uint64_t hash = random();
        for (auto &[id, node] : this->nodes)
            node.router->route(ServiceId{1}, hash, this->now, true);
    }
}

ChangeCost SlopeCluster::change(const Plan &plan)
{
    const TimePoint begin = this->now;
    const auto count = static_cast<double>(this->nodes.size());
    for (auto &[id, node] : this->nodes)
        node.sent = 0;
    const InstanceId planner = this->nodes.begin()->first;
    const auto start = std::chrono::steady_clock::now();
    FlowRouter::Outbox pushes;
    for (const auto &[id, node] : this->nodes)
        if (id != planner)
            pushes.push_back({id, PlanPush{plan}});
    this->send(planner, pushes);
    FlowRouter::Outbox out;
    this->nodes.at(planner).router->onPlan(plan, this->now, out);
    this->send(planner, out);
    auto busy = std::chrono::steady_clock::now() - start;

    TimePoint nextTick = this->now + tickInterval;
    while (!this->inForceEverywhere(plan.id)) {
        if (this->now - begin > changeLimit)
            throw std::runtime_error("a plan change did not come into force");
        if (this->frames.empty() || this->frames.begin()->first > nextTick) {
            this->now = nextTick;
            nextTick += tickInterval;
            this->tick();
            continue;
        }
        const auto event = this->frames.extract(this->frames.begin());
        this->now = event.key();
        const auto received = std::chrono::steady_clock::now();
        this->receive(event.mapped());
        busy += std::chrono::steady_clock::now() - received;
    }
    ChangeCost cost;
    cost.virtualMs = std::chrono::duration<double, std::milli>(this->now - begin).count();
    // Reports of the plan in force may still be under way and count as well.
    while (!this->frames.empty()) {
        const auto event = this->frames.extract(this->frames.begin());
        this->now = event.key();
        const auto received = std::chrono::steady_clock::now();
        this->receive(event.mapped());
        busy += std::chrono::steady_clock::now() - received;
    }
    for (const auto &[id, node] : this->nodes)
        cost.bytesPerInstance += static_cast<double>(node.sent) / count;
    cost.plannerBytes = static_cast<double>(this->nodes.at(planner).sent);
    cost.processorMs = std::chrono::duration<double, std::milli>(busy).count() / count;
    return cost;
}

void SlopeCluster::receive(const Frame &frame)
{
    const auto decoded = MessageCodec::decode(frame.bytes);
    if (!decoded)
        throw std::runtime_error("a message cannot be decoded");
    FlowRouter &router = *this->nodes.at(frame.to).router;
    FlowRouter::Outbox out;
    if (const auto *push = std::get_if<PlanPush>(&*decoded))
        router.onPlan(push->plan, this->now, out);
    else if (const auto *digest = std::get_if<Digest>(&*decoded))
        router.onDigest(frame.from, *digest, this->now, out);
    else if (const auto *prepared = std::get_if<Prepared>(&*decoded))
        router.onPrepared(frame.from, *prepared, this->now, out);
    else if (const auto *unionMessage = std::get_if<Union>(&*decoded))
        router.onUnion(frame.from, *unionMessage, this->now, out);
    else if (const auto *inForce = std::get_if<InForce>(&*decoded))
        router.onInForce(frame.from, *inForce, this->now, out);
    this->send(frame.to, out);
}

void SlopeCluster::send(InstanceId from, const FlowRouter::Outbox &out)
{
    for (const OutboundMessage &message : out) {
        auto bytes = MessageCodec::encode(message.message);
        if (!bytes)
            throw std::runtime_error("a message is over the limit of its size");
        this->nodes.at(from).sent += bytes->size() + lengthPrefix;
        this->frames.emplace(this->now + linkDelay, Frame{from, message.to, std::move(*bytes)});
    }
}

void SlopeCluster::tick()
{
    for (auto &[id, node] : this->nodes) {
        FlowRouter::Outbox out;
        node.router->tick(this->now, out);
        this->send(id, out);
    }
}

bool SlopeCluster::inForceEverywhere(const PlanId &plan) const
{
    return std::ranges::all_of(this->nodes, [&](const auto &entry) {
        const Plan *current = entry.second.router->currentPlan();
        return current != nullptr && current->id == plan;
    });
}

} // namespace bulrushgap::bench
