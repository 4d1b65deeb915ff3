#include "service/HttpServer.h"

#include "service/HttpRoutes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/leaf/error.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <optional>
#include <unordered_map>

namespace bulrushgap {

namespace internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

class HttpSession;

struct HttpServerState
{
    HttpServerState(asio::io_context &context, Endpoint endpoint, HttpServerLimits limits)
        : acceptor(context)
        , endpoint(endpoint)
        , limits(limits)
    {}

    asio::ip::tcp::acceptor acceptor;
    Endpoint endpoint;
    HttpServerLimits limits;
    HttpRoutes routes;
    std::function<bool()> admit = [] {
        return true;
    };
    std::unordered_map<HttpSession *, std::weak_ptr<HttpSession>> sessions;
    bool stopped = false;
};

/** \brief Parses the request target into path and query. \returns false if it is malformed. */
bool parseTarget(std::string_view target, HttpRequestView &view)
{
    const auto url = boost::urls::parse_origin_form(target);
    if (!url)
        return false;
    view.path = url->path();
    for (const auto &parameter : url->params())
        view.query.push_back(HttpParameter{parameter.key, parameter.value});
    return true;
}

std::string stripQuotes(std::string_view text)
{
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"')
        text = text.substr(1, text.size() - 2);
    return std::string(text);
}

/** \brief An accepted connection, which serves one request after another. */
class HttpSession : public std::enable_shared_from_this<HttpSession>
{
public:
    HttpSession(asio::ip::tcp::socket socket, std::shared_ptr<HttpServerState> state)
        : stream(std::move(socket))
        , state(std::move(state))
    {}
    ~HttpSession() { this->state->sessions.erase(this); }
    HttpSession(const HttpSession &) = delete;
    HttpSession &operator=(const HttpSession &) = delete;

    void readRequest();
    void close();

private:
    void onRequest(error_code error);
    void dispatch();
    void respond(HttpReply reply);
    void rejectRequest(unsigned status, std::string_view message);

    beast::tcp_stream stream;
    std::shared_ptr<HttpServerState> state;
    beast::flat_buffer buffer;
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> response;
    bool responded = false;
};

void HttpSession::readRequest()
{
    this->parser.emplace();
    this->parser->header_limit(static_cast<std::uint32_t>(this->state->limits.headerBytes));
    this->parser->body_limit(this->state->limits.bodyBytes);
    this->responded = false;
    this->stream.expires_after(this->state->limits.idleTimeout);
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](error_code error, std::size_t) {
                         self->onRequest(error);
                     });
}

void HttpSession::onRequest(error_code error)
{
    if (this->state->stopped)
        return;
    if (error == http::error::body_limit) {
        this->rejectRequest(413, "body too large");
    } else if (error == http::error::header_limit) {
        this->rejectRequest(431, "header too large");
    } else if (error && error.category() == http::make_error_code(http::error::bad_value).category()
               && error != http::error::end_of_stream && error != http::error::partial_message) {
        this->rejectRequest(400, "malformed request");
    } else if (error) {
        this->close();
    } else {
        this->dispatch();
    }
}

void HttpSession::dispatch()
{
    const auto &request = this->parser->get();
    HttpRequestView view;
    view.method = std::string(request.method_string());
    view.body = request.body();
    const auto ifMatch = request.find(http::field::if_match);
    if (ifMatch != request.end())
        view.ifMatch = stripQuotes(ifMatch->value());
    if (!parseTarget(request.target(), view)) {
        this->rejectRequest(400, "malformed target");
        return;
    }
    this->stream.expires_never();
    this->state->routes.dispatch(view, [self = this->shared_from_this()](HttpReply reply) {
        self->respond(std::move(reply));
    });
}

void HttpSession::rejectRequest(unsigned status, std::string_view message)
{
    this->parser.emplace();
    this->parser->get().keep_alive(false);
    this->respond(errorReply(status, message));
}

void HttpSession::respond(HttpReply reply)
{
    if (this->responded || this->state->stopped)
        return;
    this->responded = true;
    if (reply.drop) {
        this->close();
        return;
    }
    this->response = {};
    this->response.result(reply.status);
    this->response.set(http::field::content_type, reply.contentType);
    if (!reply.etag.empty())
        this->response.set(http::field::etag, '"' + reply.etag + '"');
    for (const HttpHeader &header : reply.headers)
        this->response.set(header.name, header.value);
    this->response.keep_alive(this->parser->get().keep_alive());
    this->response.body() = std::move(reply.body);
    this->response.prepare_payload();
    this->stream.expires_after(this->state->limits.writeTimeout);
    http::async_write(this->stream, this->response,
                      [self = this->shared_from_this()](error_code error, std::size_t) {
                          if (error || !self->response.keep_alive())
                              self->close();
                          else
                              self->readRequest();
                      });
}

void HttpSession::close()
{
    error_code ignored;
    this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->stream.close();
}

void accept(const std::shared_ptr<HttpServerState> &state);

void startSession(const std::shared_ptr<HttpServerState> &state, asio::ip::tcp::socket socket)
{
    error_code ignored;
    if (state->sessions.size() >= state->limits.connections) {
        socket.close(ignored);
        return;
    }
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto session = std::make_shared<HttpSession>(std::move(socket), state);
    state->sessions.emplace(session.get(), session);
    session->readRequest();
}

/** \brief Retries accepting after a delay; errors such as a lack of descriptors are temporary. */
void acceptLater(const std::shared_ptr<HttpServerState> &state)
{
    constexpr std::chrono::milliseconds retryDelay{100};
    const auto timer
        = std::make_shared<asio::steady_timer>(state->acceptor.get_executor(), retryDelay);
    timer->async_wait([state, timer](error_code) { accept(state); });
}

void accept(const std::shared_ptr<HttpServerState> &state)
{
    if (state->stopped)
        return;
    state->acceptor.async_accept([state](error_code error, asio::ip::tcp::socket socket) {
        if (state->stopped)
            return;
        if (error) {
            acceptLater(state);
            return;
        }
        startSession(state, std::move(socket));
        accept(state);
    });
}

} // namespace internal

HttpServer::HttpServer(boost::asio::io_context &context, Endpoint endpoint, HttpServerLimits limits)
    : state(std::make_shared<internal::HttpServerState>(context, endpoint, limits))
{}

HttpServer::~HttpServer()
{
    this->stop();
}

void HttpServer::route(std::string_view method, std::string_view pattern, HttpHandler handler)
{
    this->routeAsync(method, pattern,
                     [handler = std::move(handler)](const HttpRequestView &request,
                                                    const HttpResponder &respond) {
                         respond(handler(request));
                     });
}

void HttpServer::routeAsync(std::string_view method, std::string_view pattern,
                            AsyncHttpHandler handler)
{
    this->state->routes.add(method, pattern, std::move(handler));
}

boost::leaf::result<Endpoint> HttpServer::start()
{
    namespace tcp = boost::asio::ip;
    auto &acceptor = this->state->acceptor;
    const Endpoint &requestedEndpoint = this->state->endpoint;
    const tcp::tcp::endpoint address(tcp::address_v4(requestedEndpoint.address),
                                     requestedEndpoint.port);
    boost::system::error_code error;
    acceptor.open(tcp::tcp::v4(), error);
    if (!error)
        acceptor.set_option(tcp::tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(address, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    if (error)
        return boost::leaf::new_error(error);
    internal::accept(this->state);
    return Endpoint{requestedEndpoint.address, acceptor.local_endpoint(error).port()};
}

void HttpServer::stop()
{
    if (this->state->stopped)
        return;
    this->state->stopped = true;
    boost::system::error_code ignored;
    this->state->acceptor.close(ignored);
    const auto sessions = std::move(this->state->sessions);
    this->state->sessions.clear();
    for (const auto &[address, session] : sessions) {
        if (const auto open = session.lock())
            open->close();
    }
}

} // namespace bulrushgap
