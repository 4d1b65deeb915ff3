#include "role/PeerViewServer.h"

#include "ejection/OutcomeCodec.h"
#include "role/ViewFrame.h"
#include "service/FrameReader.h"
#include "view/ReplyCompression.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/leaf/error.hpp>

#include <array>
#include <functional>
#include <optional>
#include <set>
#include <utility>

namespace bulrushgap {

namespace internal {

using boost::asio::ip::tcp;

/** A request holds a kind, a revision and a wait, or at most 64 reports of 12 bytes. */
constexpr std::size_t maxViewRequestBytes = 1'024;

using BytesPtr = std::shared_ptr<const Bytes>;

/** \brief Last encoded answer of a kind; cached because many instances request the same one. */
template <typename Answer>
class EncodedAnswer
{
public:
    using Encode = std::function<Bytes(const Answer &answer)>;

    BytesPtr of(const std::shared_ptr<const Answer> &next, bool compressed, const Encode &encode)
    {
        if (this->answer != next) {
            this->answer = next;
            this->plain = std::make_shared<const Bytes>(encode(*next));
            this->packed.reset();
        }
        if (!compressed)
            return this->plain;
        if (!this->packed) {
            auto bytes = balance::compressReply(*this->plain);
            this->packed = bytes ? std::make_shared<const Bytes>(std::move(*bytes)) : this->plain;
        }
        return this->packed;
    }

private:
    std::shared_ptr<const Answer> answer;
    BytesPtr plain;
    BytesPtr packed; //!< Compressed unless it is short; null until a reader accepts it.
};

/** \brief Cache of encoded answers, shared by all connections. */
class AnswerCache
{
public:
    BytesPtr encode(const balance::ViewRequest &request, const balance::ObjectMirror::ListPtr &list)
    {
        const auto encodeList = [&request](const balance::ViewList &answer) {
            return balance::encodeList(request.kind, answer);
        };
        return this->lists.at(static_cast<std::size_t>(request.kind))
            .of(list, request.acceptsCompressed, encodeList);
    }

    BytesPtr encode(const balance::ViewRequest &request,
                    const balance::ObjectMirror::EventsPtr &events)
    {
        const auto encodeEvents = [&request](const balance::ViewEvents &answer) {
            return balance::encodeEvents(request.kind, answer);
        };
        return this->events.at(static_cast<std::size_t>(request.kind))
            .of(events, request.acceptsCompressed, encodeEvents);
    }

private:
    std::array<EncodedAnswer<balance::ViewList>, balance::viewKindCount> lists;
    std::array<EncodedAnswer<balance::ViewEvents>, balance::viewKindCount> events;
};

struct PeerViewSession;

struct PeerViewServerState : std::enable_shared_from_this<PeerViewServerState>
{
    PeerViewServerState(boost::asio::io_context &context, Endpoint endpoint,
                        balance::ObjectMirror &mirror, Counters &counters, PeerViewLimits limits,
                        balance::OutcomeSharing *outcomes)
        : context(context)
        , endpoint(endpoint)
        , mirror(mirror)
        , counters(counters)
        , limits(limits)
        , outcomes(outcomes)
        , acceptor(context)
    {}

    void open()
    {
        this->acceptor.open(tcp::v4());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(
            {boost::asio::ip::address_v4(this->endpoint.address), this->endpoint.port});
        this->acceptor.listen();
        this->accept();
    }

    void accept();

    boost::asio::io_context &context;
    Endpoint endpoint;
    balance::ObjectMirror &mirror;
    Counters &counters;
    PeerViewLimits limits;
    balance::OutcomeSharing *outcomes;
    tcp::acceptor acceptor;
    AnswerCache cache;
    std::set<std::shared_ptr<PeerViewSession>> sessions;
    bool stopped = false;
};

/** \brief Connection of an instance that reads its view from this one. */
struct PeerViewSession : std::enable_shared_from_this<PeerViewSession>
{
    PeerViewSession(PeerViewServerState &server, tcp::socket accepted)
        : server(server)
        , socket(std::move(accepted))
        , idleTimer(server.context)
    {}

    void start()
    {
        boost::system::error_code ignored;
        this->socket.set_option(tcp::no_delay(true), ignored);
        this->read();
    }

    void close()
    {
        this->closed = true;
        if (this->outcomeReader)
            this->server.outcomes->removeReader(*this->outcomeReader);
        this->idleTimer.cancel();
        boost::system::error_code ignored;
        this->socket.close(ignored);
    }

    void disconnect()
    {
        if (this->closed)
            return;
        this->close();
        this->server.sessions.erase(this->shared_from_this());
    }

    void read()
    {
        this->idleTimer.expires_after(this->server.limits.idleTimeout);
        this->idleTimer.async_wait(
            [self = this->shared_from_this()](boost::system::error_code error) {
                if (!error)
                    self->disconnect();
            });
        this->socket.async_read_some(
            boost::asio::buffer(this->input),
            [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
                if (self->closed)
                    return;
                if (error)
                    return self->disconnect();
                self->onBytes(std::span<const std::byte>(self->input).first(size));
                if (!self->closed)
                    self->read();
            });
    }

    void onBytes(std::span<const std::byte> bytes)
    {
        this->reader.append(bytes);
        while (!this->closed) {
            const auto frame = this->reader.next();
            if (!frame)
                break;
            this->onFrame(*frame);
        }
        if (!this->closed && this->reader.isLimitExceeded())
            this->refuse();
    }

    void onFrame(std::span<const std::byte> bytes)
    {
        const auto frame = ViewFrame::parse(bytes);
        const auto request = frame ? balance::decodeRequest(frame->message) : std::nullopt;
        if (!request)
            return frame ? this->onOutcomes(*frame) : this->refuse();
        const auto respond = [weak = this->weak_from_this(), requestId = frame->requestId,
                              request = *request](const auto &answer) {
            if (const auto self = weak.lock(); self && !self->closed)
                self->send(requestId, self->server.cache.encode(request, answer));
        };
        if (request->since)
            this->server.mirror.watch(*request, respond);
        else
            this->server.mirror.list(*request, respond);
    }

    void onOutcomes(const ViewFrame &frame)
    {
        balance::OutcomeSharing *outcomes = this->server.outcomes;
        const auto request
            = outcomes == nullptr ? std::nullopt : balance::decodeOutcomeRequest(frame.message);
        if (!request)
            return this->refuse();
        if (!this->outcomeReader)
            this->outcomeReader = outcomes->addReader();
        outcomes->onRequest(
            *this->outcomeReader, *request,
            [weak = this->weak_from_this(),
             requestId = frame.requestId](const balance::OutcomeReports &reports) {
                if (const auto self = weak.lock(); self && !self->closed)
                    self->send(requestId,
                               std::make_shared<const Bytes>(balance::encodeOutcomeReply(reports)));
            });
    }

    void refuse()
    {
        this->server.counters.add("peer_view_malformed");
        this->disconnect();
    }

    void send(std::uint32_t requestId, const std::shared_ptr<const Bytes> &message)
    {
        if (this->output.size() + message->size() > this->server.limits.maxQueuedBytes) {
            this->server.counters.add("peer_view_slow_reader");
            return this->disconnect();
        }
        const Bytes frame
            = ViewFrame{requestId, this->server.mirror.freshness(), *message}.toBytes();
        this->output.insert(this->output.end(), frame.begin(), frame.end());
        this->write();
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
                    self->disconnect();
                else if (!self->closed)
                    self->write();
            });
    }

    PeerViewServerState &server;
    tcp::socket socket;
    boost::asio::steady_timer idleTimer;
    FrameReader reader{maxViewRequestBytes};
    std::array<std::byte, 1'024> input{};
    Bytes output;
    std::optional<balance::OutcomeReaderId> outcomeReader; //!< Set by the first exchange.
    bool writing = false;
    bool closed = false;
};

void PeerViewServerState::accept()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](boost::system::error_code error, tcp::socket socket) {
            if (self->stopped || error == boost::asio::error::operation_aborted)
                return;
            if (!error && self->sessions.size() < self->limits.maxConnections) {
                const auto session = std::make_shared<PeerViewSession>(*self, std::move(socket));
                self->sessions.insert(session);
                session->start();
            }
            self->accept();
        });
}

} // namespace internal

PeerViewServer::PeerViewServer(boost::asio::io_context &context, Endpoint endpoint,
                               balance::ObjectMirror &mirror, Counters &counters,
                               PeerViewLimits limits, balance::OutcomeSharing *outcomes)
    : state(std::make_shared<internal::PeerViewServerState>(context, endpoint, mirror, counters,
                                                            limits, outcomes))
{}

PeerViewServer::~PeerViewServer()
{
    this->state->stopped = true;
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
    for (const auto &session : std::exchange(this->state->sessions, {}))
        session->close();
}

boost::leaf::result<Endpoint> PeerViewServer::start()
{
    try {
        this->state->open();
    } catch (const boost::system::system_error &error) {
        return boost::leaf::new_error(error.code());
    }
    return Endpoint{this->state->endpoint.address, this->state->acceptor.local_endpoint().port()};
}

} // namespace bulrushgap
