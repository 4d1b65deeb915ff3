#include "role/PeerViewClient.h"

#include "ejection/OutcomeCodec.h"
#include "role/ViewFrame.h"
#include "service/FrameReader.h"
#include "view/ViewCodec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <map>
#include <utility>

namespace bulrushgap {

namespace internal {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

/** Below the idle timeout, so that a refusal arrives before the connection is abandoned. */
constexpr milliseconds listWait{400};

/** \brief One connection and its pending calls; not used again once it has failed. */
struct PeerViewConnection : std::enable_shared_from_this<PeerViewConnection>
{
    /** Receives the response to a call, or nothing if the connection has failed. */
    using ReplyHandler = std::function<void(const std::optional<ViewFrame> &reply)>;

    enum class CallKind {
        List, //!< Any received bytes extend its deadline.
        Watch,
        Exchange, //!< Of outcomes.
    };

    struct Call
    {
        CallKind kind;
        ReplyHandler onReply;
        Clock::time_point deadline{};
    };

    PeerViewConnection(boost::asio::io_context &context, Counters &counters,
                       milliseconds idleTimeout)
        : socket(context)
        , timer(context)
        , counters(counters)
        , idleTimeout(idleTimeout)
    {}

    void open(Endpoint peer, milliseconds timeout)
    {
        this->armTimer(Clock::now() + timeout);
        this->socket.async_connect(
            {boost::asio::ip::address_v4(peer.address), peer.port},
            [self = this->shared_from_this()](boost::system::error_code error) {
                if (self->failed)
                    return;
                if (error)
                    return self->fail();
                boost::system::error_code ignored;
                self->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
                self->connected = true;
                self->armCallTimer();
                self->write();
                self->read();
            });
    }

    void send(const Bytes &message, milliseconds timeout, Call call)
    {
        const std::uint32_t requestId = ++this->lastRequestId;
        const Bytes frame = ViewFrame{requestId, {}, message}.toBytes();
        this->output.insert(this->output.end(), frame.begin(), frame.end());
        call.deadline = Clock::now() + timeout;
        this->calls.emplace(requestId, std::move(call));
        if (!this->connected)
            return;
        this->armCallTimer();
        this->write();
    }

    /** \brief Closes the connection without calling the handlers of pending calls. */
    void close()
    {
        this->failed = true;
        this->calls.clear();
        this->timer.cancel();
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    /** \brief Closes the connection; pending lists fail, handlers of watches are not called. */
    void dropWatches()
    {
        std::erase_if(this->calls,
                      [](const auto &entry) { return entry.second.kind == CallKind::Watch; });
        this->fail();
    }

    void fail()
    {
        if (this->failed)
            return;
        if (this->reader.hasPartialMessage())
            this->counters.add("peer_reply_broken_off");
        auto waiting = std::exchange(this->calls, {});
        this->close();
        for (auto &[requestId, call] : waiting)
            call.onReply(std::nullopt);
    }

    void write()
    {
        if (this->writing || this->output.empty())
            return;
        this->writing = true;
        const auto bytes = std::make_shared<Bytes>(std::exchange(this->output, {}));
        boost::asio::async_write(
            this->socket, boost::asio::buffer(*bytes),
            [self = this->shared_from_this(), bytes](boost::system::error_code error, std::size_t) {
                self->writing = false;
                if (error)
                    self->fail();
                else if (!self->failed)
                    self->write();
            });
    }

    void read()
    {
        this->socket.async_read_some(
            boost::asio::buffer(this->input),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
                if (self->failed)
                    return;
                if (error)
                    return self->fail();
                self->onBytes(std::span<const std::byte>(self->input).first(size));
                if (!self->failed)
                    self->read();
            });
    }

    void onBytes(std::span<const std::byte> bytes)
    {
        this->receivedAt = Clock::now();
        const bool continued = this->reader.hasPartialMessage();
        this->reader.append(bytes);
        while (!this->failed) {
            const auto frame = this->reader.next();
            if (!frame)
                break;
            this->onFrame(*frame);
        }
        if (this->reader.isLimitExceeded())
            this->fail();
        if (this->failed)
            return;
        this->extendDeadlines(continued || this->reader.hasPartialMessage());
        this->armCallTimer();
    }

    /** \param all whether the bytes are those of a reply that other replies may wait for */
    void extendDeadlines(bool all)
    {
        for (auto &[requestId, call] : this->calls) {
            if (all || call.kind == CallKind::List)
                call.deadline = std::max(call.deadline, this->receivedAt + this->idleTimeout);
        }
    }

    void onFrame(std::span<const std::byte> bytes)
    {
        const auto frame = ViewFrame::parse(bytes);
        const auto found = frame ? this->calls.find(frame->requestId) : this->calls.end();
        if (found == this->calls.end())
            return this->fail();
        const ReplyHandler onReply = std::move(found->second.onReply);
        this->calls.erase(found);
        onReply(frame);
    }

    void armCallTimer()
    {
        if (this->calls.empty()) {
            this->timer.cancel();
            return;
        }
        // A reply that has begun has no wait left that its silence could be.
        if (this->reader.hasPartialMessage()) {
            this->armTimer(this->receivedAt + this->idleTimeout);
            return;
        }
        auto earliest = this->calls.begin()->second.deadline;
        for (const auto &[requestId, call] : this->calls)
            earliest = std::min(earliest, call.deadline);
        this->armTimer(earliest);
    }

    void armTimer(Clock::time_point expiry)
    {
        this->timer.expires_at(expiry);
        this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
            if (!error && !self->failed)
                self->fail();
        });
    }

    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    Counters &counters;
    milliseconds idleTimeout;
    Clock::time_point receivedAt; //!< When bytes last arrived.
    FrameReader reader{balance::maxViewMessageBytes};
    std::array<std::byte, 16'384> input{};
    Bytes output;
    std::map<std::uint32_t, Call> calls;
    std::uint32_t lastRequestId = 0;
    bool connected = false;
    bool writing = false;
    bool failed = false;
};

} // namespace internal

using CallKind = internal::PeerViewConnection::CallKind;

PeerReadOptions PeerReadOptions::of(const balance::ViewSource &source)
{
    return {source.direct, source.mayWait ? internal::listWait : internal::milliseconds(0)};
}

PeerViewClient::PeerViewClient(boost::asio::io_context &context, Endpoint peer, Counters &counters,
                               PeerReadOptions options, PeerViewTimeouts timeouts)
    : context(context)
    , peer(peer)
    , counters(counters)
    , options(options)
    , timeouts(timeouts)
{}

PeerViewClient::~PeerViewClient()
{
    if (this->activeConnection)
        this->activeConnection->close();
}

void PeerViewClient::dropWatches()
{
    if (const auto dropped = std::exchange(this->activeConnection, nullptr))
        dropped->dropWatches();
}

std::optional<TimePoint> PeerViewClient::lastArrival() const
{
    const auto &connection = this->activeConnection;
    if (!connection || connection->failed || !connection->reader.hasPartialMessage())
        return std::nullopt;
    return std::chrono::time_point_cast<Duration>(connection->receivedAt);
}

internal::PeerViewConnection &PeerViewClient::connection()
{
    if (!this->activeConnection || this->activeConnection->failed) {
        this->activeConnection = std::make_shared<internal::PeerViewConnection>(
            this->context, this->counters, this->timeouts.idleTimeout);
        this->activeConnection->open(this->peer, this->timeouts.connect);
    }
    return *this->activeConnection;
}

void PeerViewClient::list(balance::ViewKind kind, ListHandler handler)
{
    this->counters.add("peer_list");
    const balance::ViewRequest request{kind, std::nullopt, this->options.listWait,
                                       this->options.direct};
    this->connection().send(
        balance::encodeRequest(request), this->timeouts.idleTimeout,
        {CallKind::List, [kind, handler = std::move(handler)](const auto &reply) {
             std::optional<balance::ViewList> list;
             if (reply)
                 list = balance::decodeList(kind, reply->message);
             if (list)
                 list->freshness = reply->freshness;
             handler(std::move(list).value_or(balance::ViewList{}));
         }});
}

void PeerViewClient::watchFor(balance::ViewKind kind, StoreRevision since,
                              std::chrono::milliseconds wait, WatchHandler handler)
{
    this->counters.add("peer_watch");
    const balance::ViewRequest request{kind, since, wait, this->options.direct};
    this->connection().send(
        balance::encodeRequest(request), wait + this->timeouts.watchMargin,
        {CallKind::Watch, [kind, handler = std::move(handler)](const auto &reply) {
             std::optional<balance::ViewEvents> events;
             if (reply)
                 events = balance::decodeEvents(kind, reply->message);
             if (events)
                 events->freshness = reply->freshness;
             handler(std::move(events).value_or(balance::ViewEvents{}));
         }});
}

void PeerViewClient::exchange(const balance::OutcomeRequest &request,
                              balance::OutcomeSource::Handler handler)
{
    this->counters.add("peer_outcome");
    this->connection().send(balance::encodeOutcomeRequest(request),
                            request.wait + this->timeouts.idleTimeout,
                            {CallKind::Exchange, [handler = std::move(handler)](const auto &reply) {
                                 std::optional<balance::OutcomeReports> reports;
                                 if (reply)
                                     reports = balance::decodeOutcomeReply(reply->message);
                                 handler(reports);
                             }});
}

} // namespace bulrushgap
