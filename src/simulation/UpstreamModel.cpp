#include "simulation/UpstreamModel.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr std::size_t upstreamIdBytes = 8;
constexpr unsigned statusOk = 200;
constexpr unsigned statusShed = 503;

/** A request that was shed counts as load for this long: its connection is still open. */
constexpr Duration shedLinger = std::chrono::milliseconds(500);

} // namespace internal

UpstreamModel::UpstreamModel(const Scheduler &scheduler, balance::UpstreamEntry entry,
                             UpstreamLimits limits, Random &random, UpstreamModelHooks hooks)
    : scheduler(scheduler)
    , description(std::move(entry))
    , limits(limits)
    , random(random)
    , hooks(std::move(hooks))
    , startedAt(scheduler.now())
{}

UpstreamModel::~UpstreamModel() = default;

bool UpstreamModel::isCold() const
{
    return this->description.slowStart > Duration::zero()
           && this->scheduler.now() < this->startedAt + this->limits.coldTime;
}

bool UpstreamModel::refusesConnections()
{
    const TimePoint now = this->scheduler.now();
    while (!this->recentSheds.empty() && now - this->recentSheds.front() > internal::shedLinger)
        this->recentSheds.pop_front();
    const std::size_t load = this->running.size() + this->queue.size() + this->recentSheds.size();
    const bool overloaded = this->limits.connections > 0 && load >= this->limits.connections;
    return overloaded || this->flows.size() >= this->limits.flows;
}

bool UpstreamModel::holds(Endpoint caller, Endpoint route) const
{
    const auto found = this->flows.find({caller, route});
    return found != this->flows.end() && found->second.end != nullptr;
}

void UpstreamModel::onDatagram(std::span<const std::byte> datagram)
{
    if (datagram.size() < internal::upstreamIdBytes)
        return;
    const std::uint64_t meant = readBigEndian(datagram.first(internal::upstreamIdBytes));
    const auto packet = WirePacket::parse(datagram.subspan(internal::upstreamIdBytes));
    if (!packet || (meant != 0 && meant != this->description.wireId))
        return;
    const FlowKey key{packet->source, packet->destination};
    const auto found = this->flows.find(key);
    this->hooks.onPacket(*packet, found != this->flows.end());
    if (packet->syn) {
        this->onSyn(*packet, key);
        return;
    }
    if (found == this->flows.end()) {
        this->answerUnknown(*packet, key);
        return;
    }
    Flow &flow = found->second;
    if (!flow.end) {
        if (!packet->ack || packet->acknowledged != flow.ownSequence + 1)
            return;
        this->open(key, flow, *packet);
    }
    flow.end->onPacket(*packet);
}

void UpstreamModel::onSyn(const WirePacket &packet, const FlowKey &key)
{
    if (!this->flows.contains(key) && this->flows.size() >= this->limits.flows)
        return;
    const auto [place, added] = this->flows.try_emplace(key);
    Flow &flow = place->second;
    if (flow.end)
        return; // A copy that was held up.
    if (added) {
        this->ended.erase(key);
        flow.ownSequence = static_cast<std::uint32_t>(this->random());
        flow.callerSequence = packet.sequence;
    }
    this->hooks.onSyn(packet);
    WirePacket answer;
    answer.source = packet.destination;
    answer.destination = packet.source;
    answer.sequence = flow.ownSequence;
    answer.acknowledged = flow.callerSequence + 1;
    answer.echo = packet.echo;
    answer.syn = true;
    answer.ack = true;
    this->hooks.send(std::move(answer));
}

void UpstreamModel::open(const FlowKey &key, Flow &flow, const WirePacket &packet)
{
    flow.requests = std::make_unique<RequestStream>(
        [this, key](const HttpRequest &request) { this->onRequest(key, request); });
    const FlowEndStart start{key.route,
                             key.caller,
                             flow.ownSequence + 1,
                             flow.callerSequence + 1,
                             packet.echo,
                             this->limits.retransmissions};
    flow.end = std::make_unique<FlowEnd>(
        this->scheduler, start,
        FlowEndHooks{[this](WirePacket sent) { this->hooks.send(std::move(sent)); },
                     [stream = flow.requests.get()](std::span<const std::byte> data) {
                         stream->append(data);
                     },
                     [this, key] { this->flows.at(key).end->finish(); },
                     [this, key] { this->closeLater(key); },
                     [this, key] {
                         this->closeLater(key);
                     }});
}

void UpstreamModel::answerUnknown(const WirePacket &packet, const FlowKey &key)
{
    WirePacket answer;
    answer.source = packet.destination;
    answer.destination = packet.source;
    answer.sequence = packet.acknowledged;
    if (packet.fin && this->ended.contains(key)) {
        answer.acknowledged = packet.sequence + static_cast<std::uint32_t>(packet.data.size()) + 1;
        answer.ack = true;
    } else if (packet.data.empty() && !packet.fin && this->ended.contains(key)) {
        return; // The last acknowledgement of a flow that ended.
    } else {
        answer.rst = true;
    }
    this->hooks.send(std::move(answer));
}

void UpstreamModel::onRequest(const FlowKey &key, const HttpRequest &request)
{
    if (this->running.size() < this->description.slots) {
        this->start({key, request});
    } else if (this->queue.size() < this->limits.queue) {
        this->queue.push_back({key, request});
    } else {
        ++this->shedCount;
        this->recentSheds.push_back(this->scheduler.now());
        this->reply(key, {internal::statusShed, request.id, {}, 0});
    }
}

void UpstreamModel::start(Job job)
{
    ++this->runCount;
    this->hooks.onRun(job.request);
    const Work work = this->hooks.workFor(job.request);
    const double factor = this->slowness * (this->isCold() ? this->limits.coldFactor : 1.0);
    const auto time = std::chrono::duration_cast<Duration>(work.time * factor);
    const bool hangs
        = this->hangShare > 0 && std::bernoulli_distribution(this->hangShare)(this->random);
    const std::uint64_t number = this->nextJob++;
    this->running[number] = this->scheduler.after(
        time, [this, number, hangs, job = std::move(job), bytes = work.answerBytes] {
            const auto timer = std::move(this->running[number]);
            this->running.erase(number);
            if (!hangs)
                this->finish(job, bytes);
            this->startNext();
        });
}

void UpstreamModel::finish(const Job &job, std::size_t answerBytes)
{
    this->reply(job.key, {internal::statusOk, job.request.id, this->description.name, answerBytes});
}

void UpstreamModel::reply(const FlowKey &key, const HttpAnswer &answer)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end() || !found->second.end)
        return; // The flow has ended meanwhile.
    found->second.end->write(answer.toBytes());
    if (this->draining)
        found->second.end->finish();
}

void UpstreamModel::startNext()
{
    while (!this->queue.empty() && this->running.size() < this->description.slots) {
        Job job = std::move(this->queue.front());
        this->queue.pop_front();
        this->start(std::move(job));
    }
}

void UpstreamModel::closeLater(const FlowKey &key)
{
    // The flow's end is still at work on the packet that closed it.
    this->closing[key] = this->scheduler.after(Duration::zero(), [this, key] {
        this->flows.erase(key);
        this->ended.insert(key);
        this->closing.erase(key);
    });
}

} // namespace bulrushgap::simulation
