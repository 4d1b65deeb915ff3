#include "simulation/FlowEnd.h"

#include "steering/SequenceNumber.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

using balance::isAfter;

constexpr std::size_t window = 16; //!< Packets in flight.
constexpr Duration firstRetransmission = std::chrono::milliseconds(200);
constexpr Duration longestRetransmission = std::chrono::milliseconds(1'600);
constexpr Duration acknowledgementDelay = std::chrono::milliseconds(20);
constexpr unsigned packetsPerAcknowledgement = 2;

} // namespace internal

FlowEnd::FlowEnd(const Scheduler &scheduler, const FlowEndStart &start, FlowEndHooks hooks)
    : scheduler(scheduler)
    , hooks(std::move(hooks))
    , local(start.local)
    , remote(start.remote)
    , nextSequence(start.nextSequence)
    , nextExpected(start.nextExpected)
    , echo(start.echo)
    , maxRetransmissions(start.maxRetransmissions)
    , retransmitDelay(internal::firstRetransmission)
{}

void FlowEnd::write(std::span<const std::byte> bytes)
{
    while (!bytes.empty()) {
        const std::size_t size = std::min(bytes.size(), packetDataBytes);
        Segment segment{
            this->nextSequence, {bytes.begin(), bytes.begin() + static_cast<long>(size)}, false};
        this->nextSequence = segment.end();
        this->queued.push_back(std::move(segment));
        bytes = bytes.subspan(size);
    }
    this->pump();
}

void FlowEnd::finish()
{
    if (std::exchange(this->finQueued, true))
        return;
    Segment segment{this->nextSequence, {}, true};
    this->nextSequence = segment.end();
    this->queued.push_back(std::move(segment));
    this->pump();
}

void FlowEnd::pump()
{
    while (!this->queued.empty() && this->inFlight.size() < internal::window) {
        this->inFlight.push_back(std::move(this->queued.front()));
        this->queued.pop_front();
        this->transmit(this->inFlight.back());
    }
    if (!this->inFlight.empty() && !this->retransmission)
        this->armRetransmission();
}

void FlowEnd::transmit(const Segment &segment)
{
    WirePacket packet;
    packet.source = this->local;
    packet.destination = this->remote;
    packet.sequence = segment.sequence;
    packet.acknowledged = this->nextExpected;
    packet.echo = this->echo;
    packet.ack = true;
    packet.fin = segment.fin;
    packet.data = segment.data;
    this->unacknowledged = 0;
    this->hooks.send(std::move(packet));
}

void FlowEnd::onPacket(const WirePacket &packet)
{
    if (this->closed)
        return;
    if (packet.echo != 0)
        this->echo = packet.echo;
    if (packet.ack)
        this->onAcknowledged(packet.acknowledged);
    if (!packet.data.empty() || packet.fin)
        this->receive(packet);
    this->closeIfDone();
}

void FlowEnd::onAcknowledged(std::uint32_t acknowledged)
{
    bool progress = false;
    while (!this->inFlight.empty()
           && !internal::isAfter(this->inFlight.front().end(), acknowledged)) {
        this->inFlight.pop_front();
        progress = true;
    }
    if (!progress)
        return;
    this->retransmissions = 0;
    this->retransmitDelay = internal::firstRetransmission;
    this->retransmission.reset();
    this->pump();
}

void FlowEnd::receive(const WirePacket &packet)
{
    const Segment segment{packet.sequence, packet.data, packet.fin};
    const bool expected = segment.sequence == this->nextExpected;
    if (internal::isAfter(segment.sequence, this->nextExpected))
        this->early.emplace(segment.sequence, segment);
    if (expected)
        this->deliver(segment);
    ++this->unacknowledged;
    // What is out of order or repeated shows a loss: the other end must hear of it.
    if (!expected || packet.fin || this->unacknowledged >= internal::packetsPerAcknowledgement)
        this->acknowledge();
    else
        this->acknowledgeLater();
}

void FlowEnd::deliver(const Segment &segment)
{
    Segment current = segment;
    while (true) {
        this->nextExpected = current.end();
        if (!current.data.empty())
            this->hooks.onData(current.data);
        if (current.fin && !std::exchange(this->peerFinished, true))
            this->hooks.onPeerFinished();
        const auto next = this->early.find(this->nextExpected);
        if (next == this->early.end())
            return;
        current = std::move(next->second);
        this->early.erase(next);
    }
}

void FlowEnd::acknowledge()
{
    this->delayedAck.reset();
    this->transmit(Segment{this->nextSequence, {}, false});
}

void FlowEnd::acknowledgeLater()
{
    if (this->delayedAck)
        return;
    this->delayedAck = this->scheduler.after(internal::acknowledgementDelay, [this] {
        if (this->unacknowledged > 0)
            this->acknowledge();
        else
            this->delayedAck.reset();
    });
}

void FlowEnd::armRetransmission()
{
    this->retransmission
        = this->scheduler.after(this->retransmitDelay, [this] { this->retransmit(); });
}

void FlowEnd::retransmit()
{
    if (this->inFlight.empty()) {
        this->retransmission.reset();
        return;
    }
    if (this->maxRetransmissions > 0 && this->retransmissions >= this->maxRetransmissions) {
        this->closed = true;
        this->hooks.onGaveUp();
        return;
    }
    ++this->retransmissions;
    this->retransmitDelay = std::min(this->retransmitDelay * 2, internal::longestRetransmission);
    this->transmit(this->inFlight.front());
    this->armRetransmission();
}

void FlowEnd::closeIfDone()
{
    const bool allArrived = this->finQueued && this->queued.empty() && this->inFlight.empty();
    if (this->closed || !allArrived || !this->peerFinished)
        return;
    this->closed = true;
    this->hooks.onClosed();
}

} // namespace bulrushgap::simulation
