#include "Loopback.h"
#include "service.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

using namespace bulrushgap;

namespace {

HttpOutcome send(boost::asio::io_context &context, HttpClient &client, HttpCall call)
{
    return await<HttpOutcome>(
        context, [&](auto handler) { client.send(std::move(call), std::move(handler)); });
}

/** \brief Sends raw bytes and returns all that is received until the server disconnects. */
std::string exchange(boost::asio::io_context &context, Endpoint server, const std::string &bytes)
{
    namespace asio = boost::asio;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::address_v4(server.address), server.port});
    asio::write(socket, asio::buffer(bytes));
    std::string received;
    bool closed = false;
    asio::async_read(socket, asio::dynamic_buffer(received),
                     [&](boost::system::error_code, std::size_t) { closed = true; });
    REQUIRE(runUntil(context, [&] { return closed; }));
    return received;
}

} // namespace

// Guards against clients that exhaust memory, and against malformed input accepted as a request.
TEST_CASE("oversized and malformed requests are rejected and the connection is closed",
          "[HttpServer]")
{
    boost::asio::io_context context;
    HttpServerLimits limits;
    limits.bodyBytes = 100;
    limits.headerBytes = 1'000;
    limits.idleTimeout = std::chrono::milliseconds(300);
    HttpServer server(context, Endpoint{0x7f000001, 0}, limits);
    server.route("PUT", "/a", [](const auto &) { return HttpReply{}; });
    const Endpoint endpoint = startServer(server);
    const auto [bytes, answer] = GENERATE(table<std::string, std::string>({
        {"PUT /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "HTTP/1.1 413"},
        {"PUT /a HTTP/1.1\r\nX: " + std::string(1'100, 'x') + "\r\n\r\n", "HTTP/1.1 431"},
        {"garbage\r\n\r\n", "HTTP/1.1 400"},
        {"PUT a?% HTTP/1.1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 400"},
        {"PUT /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nab", ""},
        {"PUT /a HTTP/1.1\r\nConnection: close\r\n\r\n", "HTTP/1.1 200"},
    }));
    const std::string received = exchange(context, endpoint, bytes);
    CAPTURE(bytes, received);
    REQUIRE(received.starts_with(answer));
    REQUIRE(received.empty() == answer.empty());
}

// Guards against an unbounded number of connections, and against calls that exceed their timeout.
TEST_CASE("connections and queued calls are bounded", "[HttpServer]")
{
    boost::asio::io_context context;
    HttpServerLimits limits;
    limits.connections = 1;
    HttpServer server(context, Endpoint{0x7f000001, 0}, limits);
    std::vector<HttpResponder> held;
    server.routeAsync("GET", "/held",
                      [&](const auto &, const HttpResponder &respond) { held.push_back(respond); });
    const Endpoint endpoint = startServer(server);
    HttpClient first(context, endpoint, HttpClientLimits{1, 1, 1'000});
    std::vector<HttpOutcome> outcomes;
    const auto record = [&](const HttpOutcome &outcome) {
        outcomes.push_back(outcome);
    };
    HttpCall call;
    call.target = "/held";
    first.send(call, record);
    REQUIRE(runUntil(context, [&] { return held.size() == 1; }));
    call.timeout = std::chrono::milliseconds(100);
    first.send(call, record); // Waits in the queue until its timeout.
    first.send(call, record); // Exceeds the queue limit.
    REQUIRE(runUntil(context, [&] { return outcomes.size() == 2; }));
    REQUIRE(outcomes[0].failure == HttpFailure::NotSent);
    REQUIRE(outcomes[1].failure == HttpFailure::NotSent);
    HttpClient second(context, endpoint);
    REQUIRE(send(context, second, call).failure != HttpFailure::None);
    REQUIRE(held.size() == 1);
    held.front()(HttpReply{});
    REQUIRE(runUntil(context, [&] { return outcomes.size() == 3; }));
    REQUIRE(outcomes[2].status == 200);
}
