#include "simulation/CallerFlow.h"

#include <array>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

/** When a SYN is sent again after the one before, and when the caller gives up. */
constexpr std::array<Duration, 3> synDelays{
    std::chrono::milliseconds(200), std::chrono::milliseconds(400), std::chrono::milliseconds(800)};

} // namespace internal

CallerFlow::CallerFlow(const Scheduler &scheduler, Endpoint local, Endpoint route,
                       std::uint32_t sequence)
    : scheduler(scheduler)
    , local(local)
    , route(route)
    , sequence(sequence)
{}

void CallerFlow::open()
{
    this->sendSyn();
}

void CallerFlow::sendSyn()
{
    WirePacket packet;
    packet.source = this->local;
    packet.destination = this->route;
    packet.sequence = this->sequence;
    packet.acknowledged = this->copies;
    packet.syn = true;
    const Duration delay = internal::synDelays.at(this->copies);
    this->synTimer = this->scheduler.after(delay, [this] {
        if (++this->copies < internal::synDelays.size())
            this->sendSyn();
        else
            this->fail(FlowFailure::NoAnswer);
    });
    this->hooks.send(std::move(packet));
}

void CallerFlow::request(const HttpRequest &request)
{
    const Bytes bytes = request.toBytes();
    if (this->end)
        this->end->write(bytes);
    else
        this->waiting = bytes;
}

void CallerFlow::onPacket(const WirePacket &packet)
{
    if (this->failed)
        return;
    if (packet.rst) {
        this->onReset(packet);
    } else if (!packet.isSealed()) {
        this->fail(FlowFailure::Broken);
    } else if (packet.syn) {
        this->onSynAck(packet);
    } else if (this->end) {
        this->end->onPacket(packet);
    }
}

void CallerFlow::onSynAck(const WirePacket &packet)
{
    if (this->end)
        return; // Of a second upstream, or a repetition.
    this->synTimer.reset();
    this->openTime = this->scheduler.now();
    this->answers = std::make_unique<AnswerStream>([this](const HttpAnswer &answer) {
        if (!this->closing)
            this->hooks.onAnswer(answer);
    });
    const FlowEndStart start{this->local,         this->route, this->sequence + 1,
                             packet.sequence + 1, packet.echo, 0};
    this->end = std::make_unique<FlowEnd>(
        this->scheduler, start,
        FlowEndHooks{[this](WirePacket sent) { this->hooks.send(std::move(sent)); },
                     [this](std::span<const std::byte> data) { this->answers->append(data); },
                     [this] {
                         this->end->finish();
                         this->fail(FlowFailure::Closed);
                     },
                     [] {},
                     [] {
                     }});
    if (this->waiting.empty())
        this->end->acknowledge();
    else
        this->end->write(std::exchange(this->waiting, {}));
    this->hooks.onOpen();
}

void CallerFlow::onReset(const WirePacket &packet)
{
    const bool foreign = packet.seal == 0;
    if (foreign)
        this->hooks.onForeignReset(packet, this->end != nullptr);
    if (!foreign && !packet.isSealed())
        this->fail(FlowFailure::Broken);
    else
        this->fail(FlowFailure::Reset);
}

void CallerFlow::fail(FlowFailure failure)
{
    if (std::exchange(this->failed, true))
        return;
    this->synTimer.reset();
    if (!this->closing)
        this->hooks.onFailed(failure, this->end != nullptr);
}

void CallerFlow::close()
{
    this->closing = true;
    this->synTimer.reset();
    if (this->end && !this->failed)
        this->end->finish();
    else
        this->failed = true;
}

} // namespace bulrushgap::simulation
