#pragma once

#include "base/Endpoint.h"
#include "service/HttpMessage.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace bulrushgap {

struct HttpServerLimits
{
    std::size_t headerBytes = 8UL * 1024;
    std::size_t bodyBytes = 1024UL * 1024 + 1024; //!< A value of 1 MB and the enclosing JSON.
    std::size_t connections = 64;
    std::chrono::milliseconds idleTimeout{30'000}; //!< Time to receive the next request completely.
    std::chrono::milliseconds writeTimeout{5'000};
};

namespace internal {
struct HttpServerState;
}

/** \brief Small HTTP/1.1 server with a routing table; runs on the given I/O context only. */
class HttpServer
{
public:
    HttpServer(boost::asio::io_context &context, Endpoint endpoint, HttpServerLimits limits = {});
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /** \brief Adds a route; in \a pattern "{}" matches one segment and a final "*" the rest.
     *
     * The server responds with 404 to an unknown path and with 405 to a known path with another
     * method.
     */
    void route(std::string_view method, std::string_view pattern, HttpHandler handler);
    void routeAsync(std::string_view method, std::string_view pattern, AsyncHttpHandler handler);

    /** \brief Starts accepting connections.
     *  \returns the bound endpoint, or a boost::system::error_code
     */
    [[nodiscard]] boost::leaf::result<Endpoint> start();

    /** \brief Closes the listening socket and all connections. */
    void stop();

private:
    std::shared_ptr<internal::HttpServerState> state;
};

} // namespace bulrushgap
