#include "service/HttpClient.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

namespace bulrushgap {

namespace internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::size_t readBytes = 16'384; //!< Received at a time.

struct HttpConnection
{
    explicit HttpConnection(asio::io_context &context)
        : stream(context)
    {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool reused = false;
};

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;

/** \brief State of a call from its submission to its outcome. */
struct PendingCall
{
    PendingCall(asio::io_context &context, HttpCall call, HttpClient::Handler handler)
        : call(std::move(call))
        , handler(std::move(handler))
        , deadline(Clock::now() + this->call.timeout)
        , timer(context)
    {}

    HttpCall call;
    HttpClient::Handler handler;
    Clock::time_point deadline;
    asio::steady_timer timer; //!< Timeout while the call is in the queue.
    HttpConnectionPtr connection;
    bool sending = false;           //!< The server may have received a part of the request.
    std::uint64_t serverNumber = 0; //!< See HttpClientState; of the server that the call is for.
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    std::optional<Clock::time_point> arrivedAt; //!< When bytes of the answer last arrived.
};

using PendingCallPtr = std::shared_ptr<PendingCall>;

struct HttpClientState : std::enable_shared_from_this<HttpClientState>
{
    HttpClientState(asio::io_context &context, Endpoint server, HttpClientLimits limits)
        : context(context)
        , server(asio::ip::address_v4(server.address), server.port)
        , host(server.toString())
        , limits(limits)
    {}

    void submit(const PendingCallPtr &pending);
    void start(const PendingCallPtr &pending);
    void connect(const PendingCallPtr &pending);
    void write(const PendingCallPtr &pending);
    void read(const PendingCallPtr &pending);
    void readSome(const PendingCallPtr &pending);
    void onBytes(const PendingCallPtr &pending, error_code error);
    void fail(const PendingCallPtr &pending, error_code error, HttpFailure failure);
    void complete(const PendingCallPtr &pending);
    void finish(const PendingCallPtr &pending, HttpOutcome outcome);
    void setServer(Endpoint next);
    void failLater(const PendingCallPtr &pending);
    [[nodiscard]] HttpConnectionPtr takeIdleConnection();

    [[nodiscard]] bool isForServer(const PendingCall &pending) const
    {
        return pending.serverNumber == this->serverNumber;
    }

    /** \returns a completion handler that calls \a function unless the client has been destroyed or
     * the call has ended because the server was replaced. */
    template <typename Function>
    auto whilePending(const PendingCallPtr &pending, Function function)
    {
        return [self = this->shared_from_this(), pending, function](error_code error,
                                                                    auto... ignored) {
            if (!self->closed && self->isForServer(*pending))
                function(error, ignored...);
        };
    }

    asio::io_context &context;
    asio::ip::tcp::endpoint server;
    std::string host;
    HttpClientLimits limits;
    std::vector<HttpConnectionPtr> idleConnections;
    std::deque<PendingCallPtr> queue;
    std::vector<PendingCallPtr> active;
    std::uint64_t serverNumber = 0; //!< Incremented when the server is replaced.
    bool closed = false;
};

/** \returns whether the connection is still open and has no unexpected data. */
bool isUsable(HttpConnection &connection)
{
    char byte = 0;
    error_code error;
    auto &socket = connection.stream.socket();
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return error == asio::error::would_block;
}

/** \brief Enables TCP keepalive, so that the kernel detects a dead connection within seconds. */
void setConnectionOptions(asio::ip::tcp::socket &socket)
{
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    constexpr int idleSeconds = 1;
    constexpr int intervalSeconds = 1;
    constexpr int maxUnansweredProbes = 2;
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(idleSeconds), ignored);
    socket.set_option(KeepInterval(intervalSeconds), ignored);
    socket.set_option(KeepCount(maxUnansweredProbes), ignored);
}

/** \brief Feeds received bytes to the parser; those that follow the response stay in the buffer.
 * \returns why the response is malformed, or no error */
error_code parse(PendingCall &pending)
{
    auto &buffer = pending.connection->buffer;
    while (buffer.size() > 0 && !pending.parser->is_done()) {
        error_code error;
        const std::size_t used = pending.parser->put(buffer.data(), error);
        buffer.consume(used);
        if (error == http::error::need_more)
            break;
        if (error)
            return error;
    }
    return {};
}

HttpConnectionPtr HttpClientState::takeIdleConnection()
{
    while (!this->idleConnections.empty()) {
        HttpConnectionPtr connection = std::move(this->idleConnections.back());
        this->idleConnections.pop_back();
        if (isUsable(*connection))
            return connection;
    }
    return nullptr;
}

void HttpClientState::submit(const PendingCallPtr &pending)
{
    if (!this->isForServer(*pending)) {
        pending->handler(HttpOutcome{HttpFailure::NotSent, 0, {}, {}});
        return;
    }
    if (this->active.size() < this->limits.connections) {
        this->start(pending);
        return;
    }
    if (this->queue.size() >= this->limits.queue) {
        pending->handler(HttpOutcome{HttpFailure::NotSent, 0, {}, {}});
        return;
    }
    this->queue.push_back(pending);
    pending->timer.expires_at(pending->deadline);
    pending->timer.async_wait(this->whilePending(pending, [this, pending](error_code error) {
        if (!error && std::erase(this->queue, pending) > 0)
            pending->handler(HttpOutcome{HttpFailure::NotSent, 0, {}, {}});
    }));
}

void HttpClientState::start(const PendingCallPtr &pending)
{
    pending->timer.cancel();
    this->active.push_back(pending);
    auto &request = pending->request;
    request.method_string(pending->call.method);
    request.target(pending->call.target);
    request.version(11);
    request.set(http::field::host, this->host);
    if (pending->call.ifMatch)
        request.set(http::field::if_match, '"' + *pending->call.ifMatch + '"');
    if (!pending->call.body.empty())
        request.set(http::field::content_type, "application/json");
    request.body() = pending->call.body;
    request.prepare_payload();
    pending->connection = this->takeIdleConnection();
    if (pending->connection)
        this->write(pending);
    else
        this->connect(pending);
}

void HttpClientState::connect(const PendingCallPtr &pending)
{
    pending->connection = std::make_shared<HttpConnection>(this->context);
    auto &stream = pending->connection->stream;
    stream.expires_at(std::min(pending->deadline, Clock::now() + pending->call.connectTimeout));
    stream.async_connect(this->server,
                         this->whilePending(pending, [this, pending](error_code error) {
                             if (error) {
                                 this->fail(pending, error, HttpFailure::NotSent);
                                 return;
                             }
                             setConnectionOptions(pending->connection->stream.socket());
                             this->write(pending);
                         }));
}

void HttpClientState::write(const PendingCallPtr &pending)
{
    auto &connection = *pending->connection;
    pending->sending = true;
    const auto now = Clock::now();
    const bool reserveRetryTime = connection.reused && pending->call.idempotent;
    connection.stream.expires_at(reserveRetryTime ? now + (pending->deadline - now) / 2
                                                  : pending->deadline);
    const auto written = [this, pending](error_code error, std::size_t bytes) {
        if (error)
            this->fail(pending, error, bytes == 0 ? HttpFailure::NotSent : HttpFailure::NoResponse);
        else
            this->read(pending);
    };
    http::async_write(connection.stream, pending->request, this->whilePending(pending, written));
}

void HttpClientState::read(const PendingCallPtr &pending)
{
    pending->arrivedAt.reset();
    pending->parser.emplace();
    pending->parser->body_limit(pending->call.maxBodyBytes.value_or(this->limits.bodyBytes));
    pending->parser->eager(true);
    this->readSome(pending);
}

void HttpClientState::readSome(const PendingCallPtr &pending)
{
    auto &connection = *pending->connection;
    const auto received = [this, pending](error_code error, std::size_t size) {
        pending->connection->buffer.commit(size);
        this->onBytes(pending, error);
    };
    connection.stream.async_read_some(connection.buffer.prepare(readBytes),
                                      this->whilePending(pending, received));
}

void HttpClientState::onBytes(const PendingCallPtr &pending, error_code error)
{
    if (!error)
        error = parse(*pending);
    else if (error == asio::error::eof && pending->parser->got_some())
        pending->parser->put_eof(error);
    if (error) {
        this->fail(pending, error, HttpFailure::NoResponse);
        return;
    }
    if (pending->parser->is_done()) {
        this->complete(pending);
        return;
    }
    pending->arrivedAt = Clock::now();
    if (pending->call.idleTimeout)
        pending->connection->stream.expires_at(*pending->arrivedAt + *pending->call.idleTimeout);
    this->readSome(pending);
}

void HttpClientState::fail(const PendingCallPtr &pending, error_code error, HttpFailure failure)
{
    const bool retry = pending->connection->reused && pending->call.idempotent
                       && Clock::now() < pending->deadline;
    pending->connection->stream.close();
    if (error == beast::error::timeout)
        this->idleConnections.clear();
    if (retry) {
        this->connect(pending);
        return;
    }
    HttpOutcome outcome{failure, 0, {}, {}};
    outcome.tooLarge = error == http::error::body_limit;
    outcome.brokenOff = pending->arrivedAt.has_value() && !outcome.tooLarge;
    this->finish(pending, std::move(outcome));
}

void HttpClientState::complete(const PendingCallPtr &pending)
{
    auto response = pending->parser->release();
    HttpOutcome outcome{HttpFailure::None, response.result_int(), std::move(response.body()), {}};
    outcome.etag = std::string(response[http::field::etag]);
    if (!pending->call.answerHeader.empty())
        outcome.header = std::string(response[pending->call.answerHeader]);
    if (response.keep_alive() && pending->connection->buffer.size() == 0) {
        pending->connection->reused = true;
        pending->connection->stream.expires_never();
        this->idleConnections.push_back(pending->connection);
    }
    this->finish(pending, std::move(outcome));
}

void HttpClientState::finish(const PendingCallPtr &pending, HttpOutcome outcome)
{
    pending->connection.reset();
    std::erase(this->active, pending);
    if (!this->queue.empty()) {
        const PendingCallPtr next = this->queue.front();
        this->queue.pop_front();
        this->start(next);
    }
    pending->handler(std::move(outcome));
}

void HttpClientState::setServer(Endpoint next)
{
    this->server = {asio::ip::address_v4(next.address), next.port};
    this->host = next.toString();
    ++this->serverNumber;
    this->idleConnections.clear();
    for (const PendingCallPtr &pending : std::exchange(this->queue, {})) {
        pending->timer.cancel();
        this->failLater(pending);
    }
    for (const PendingCallPtr &pending : std::exchange(this->active, {})) {
        pending->connection->stream.close();
        this->failLater(pending);
    }
}

/** \brief Ends a call for the replaced server; its handler may send calls or destroy the client. */
void HttpClientState::failLater(const PendingCallPtr &pending)
{
    asio::post(this->context, [self = this->shared_from_this(), pending] {
        if (self->closed)
            return;
        const HttpFailure failure
            = pending->sending ? HttpFailure::NoResponse : HttpFailure::NotSent;
        pending->handler(HttpOutcome{failure, 0, {}, {}});
    });
}

} // namespace internal

HttpClient::HttpClient(boost::asio::io_context &context, Endpoint server, HttpClientLimits limits)
    : state(std::make_shared<internal::HttpClientState>(context, server, limits))
{}

HttpClient::~HttpClient()
{
    this->state->closed = true;
    this->state->idleConnections.clear();
    this->state->queue.clear();
    for (const auto &pending : this->state->active)
        pending->connection->stream.close();
    this->state->active.clear();
}

std::optional<TimePoint> HttpClient::lastArrival() const
{
    std::optional<TimePoint> last;
    for (const internal::PendingCallPtr &pending : this->state->active) {
        if (pending->arrivedAt)
            last = std::max(
                last, std::optional(std::chrono::time_point_cast<Duration>(*pending->arrivedAt)));
    }
    return last;
}

void HttpClient::setServer(Endpoint server)
{
    this->state->setServer(server);
}

void HttpClient::send(HttpCall call, Handler handler)
{
    auto &context = this->state->context;
    auto pending
        = std::make_shared<internal::PendingCall>(context, std::move(call), std::move(handler));
    pending->serverNumber = this->state->serverNumber;
    boost::asio::post(context, [state = this->state, pending] {
        if (!state->closed)
            state->submit(pending);
    });
}

} // namespace bulrushgap
