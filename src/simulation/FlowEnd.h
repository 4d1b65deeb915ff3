#pragma once

#include "base/Scheduler.h"
#include "simulation/WirePacket.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <span>

namespace bulrushgap::simulation {

struct FlowEndHooks
{
    std::function<void(WirePacket packet)> send;
    std::function<void(std::span<const std::byte> data)> onData;

    /** The other end will send nothing more. */
    std::function<void()> onPeerFinished;

    /** The other end will send nothing more, and all that was written here has arrived. */
    std::function<void()> onClosed;

    /** The other end acknowledges nothing any more. */
    std::function<void()> onGaveUp;
};

/** \brief Where an open flow stands at one end. */
struct FlowEndStart
{
    Endpoint local;
    Endpoint remote;
    std::uint32_t nextSequence = 0; //!< Of the first byte that this end will send.
    std::uint32_t nextExpected = 0; //!< Of the first byte that the other end will send.
    std::uint32_t echo = 0;
    unsigned maxRetransmissions = 0; //!< 0 for no limit.
};

/** \brief One end of an open flow: a stream of bytes each way over packets that may be lost.
 *
 * At most 16 packets are in flight; every second packet is acknowledged at once, others a little
 * later; missing ones are sent again after 200 ms, then after twice as long, up to 1.6 s.
 */
class FlowEnd
{
public:
    FlowEnd(const Scheduler &scheduler, const FlowEndStart &start, FlowEndHooks hooks);

    void write(std::span<const std::byte> bytes);

    /** \brief Ends the stream after what was written. */
    void finish();

    void onPacket(const WirePacket &packet);

    /** \brief Sends an acknowledgement of what has arrived. */
    void acknowledge();

    [[nodiscard]] bool isFinishing() const { return this->finQueued; }

private:
    struct Segment
    {
        std::uint32_t sequence = 0;
        Bytes data;
        bool fin = false;

        [[nodiscard]] std::uint32_t end() const
        {
            return this->sequence + static_cast<std::uint32_t>(this->data.size())
                   + (this->fin ? 1U : 0U);
        }
    };

    void pump();
    void transmit(const Segment &segment);
    void onAcknowledged(std::uint32_t acknowledged);
    void receive(const WirePacket &packet);
    void deliver(const Segment &segment);
    void acknowledgeLater();
    void armRetransmission();
    void retransmit();
    void closeIfDone();

    const Scheduler &scheduler;
    FlowEndHooks hooks;
    Endpoint local;
    Endpoint remote;
    std::uint32_t nextSequence;
    std::uint32_t nextExpected;
    std::uint32_t echo;
    unsigned maxRetransmissions;
    std::deque<Segment> queued;   //!< Not sent yet.
    std::deque<Segment> inFlight; //!< Sent and not acknowledged.
    std::map<std::uint32_t, Segment> early;
    Scheduler::Timer retransmission;
    Scheduler::Timer delayedAck;
    Duration retransmitDelay;
    unsigned retransmissions = 0;
    unsigned unacknowledged = 0; //!< Packets received since the last acknowledgement.
    bool finQueued = false;
    bool peerFinished = false;
    bool closed = false;
};

} // namespace bulrushgap::simulation
