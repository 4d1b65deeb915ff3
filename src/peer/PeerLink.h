#pragma once

#include "base/Counters.h"
#include "base/Time.h"
#include "peer/ByteBudget.h"
#include "peer/MessageCodec.h"
#include "peer/PeerMeshSettings.h"
#include "service/FrameReader.h"
#include "wire/Bytes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Heartbeats and plans overtake everything else that waits. */
enum class PeerPriority {
    /** Sent even if the budget is used up, and charged to it: a delayed heartbeat would make a live
     * instance look dead, and the plans that follow would use up the budget of all others. */
    Liveness,
    High,
    Normal,
};

/** \brief An encoded message with its length in front. */
struct PeerFrame
{
    Bytes bytes;
    std::string_view type; //!< Name of the message type, of static lifetime.
    PeerPriority priority = PeerPriority::Normal;

    /** \returns the frame of a message, or nothing if it is over a limit. */
    [[nodiscard]] static std::optional<PeerFrame> of(const PeerMessage &message);
};

class PeerLink;

struct PeerLinkHooks
{
    /** First message of the peer; false closes the connection. */
    std::function<bool(const std::shared_ptr<PeerLink> &link, const Hello &hello)> onHello;
    std::function<void(std::string_view peer, PeerMessage message)> onMessage;
    /** The connection ended for a reason other than close(). */
    std::function<void(const std::shared_ptr<PeerLink> &link)> onClosed;
};

/** \brief One TCP connection to a peer: Hello exchange, framing, priorities and byte budget. */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    /** \param dialled whether this side opened the connection. */
    PeerLink(boost::asio::ip::tcp::socket socket, bool dialled, const PeerLinkSettings &settings,
             ByteBudget &budget, Counters &counters, PeerLinkHooks hooks);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /** \brief Sends \a hello and starts to read. */
    void start(const Hello &hello);

    /** \returns false, with a counter, if the queue is full or the link is closed. */
    bool send(PeerFrame frame);

    /** \brief Closes the connection; no hook is called afterwards. */
    void close();

    [[nodiscard]] bool isDialled() const { return this->dialled; }

private:
    using Queue = std::deque<PeerFrame>;

    void read();
    void handleBytes(std::size_t size);
    void handleFrame(const Bytes &frame);
    void handleMessage(PeerMessage message, std::size_t size);
    void watchSilence();
    void pump();
    void defer(const PeerFrame &frame, std::size_t reserve);
    void write();
    void fail();

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer silenceTimer;
    boost::asio::steady_timer budgetTimer;
    bool dialled;
    const PeerLinkSettings &settings;
    ByteBudget &budget;
    Counters &counters;
    PeerLinkHooks hooks;
    FrameReader reader{maximalFrameSize};
    std::array<std::byte, 16384> input{};
    std::array<Queue, 3> queues; //!< By priority.
    std::array<std::size_t, 3> queuedBytes{};
    PeerFrame current; //!< Being written; empty if nothing is.
    bool deferred = false;
    std::string peer; //!< Name of the peer, once it has greeted.
    bool greeted = false;
    bool closed = false;
    TimePoint lastReceived;
};

} // namespace bulrushgap
