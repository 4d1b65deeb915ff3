#pragma once

#include "base/Endpoint.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace bulrushgap {

struct HttpCall
{
    std::string method = "GET";
    std::string target;
    std::optional<std::string> ifMatch;
    std::string body;
    std::chrono::milliseconds timeout{2'000}; //!< For the whole call, with its time in the queue.

    /** Sends the call again on a new connection if a reused one fails; only for idempotent calls.
     * Half of the timeout is kept for the second attempt. */
    bool idempotent = false;

    /** Longest time for a new connection; no more than \a timeout. */
    std::chrono::milliseconds connectTimeout{2'000};
};

/** \brief Why a call has no answer. */
enum class HttpFailure {
    None,
    NotSent,    //!< Nothing was sent: the server has not seen the request.
    NoResponse, //!< The request was sent, at least in part; the server may have run it.
};

struct HttpOutcome
{
    HttpFailure failure = HttpFailure::None;
    unsigned status = 0;
    std::string body;
    std::string etag;
};

struct HttpClientLimits
{
    std::size_t connections = 4;
    std::size_t queue = 256;
    std::size_t bodyBytes = 16UL * 1024 * 1024;
};

namespace internal {
struct HttpClientState;
}

/** \brief Asynchronous HTTP/1.1 client of one server with a small pool of connections.
 *
 * When an answer times out, all idle connections are closed: connections can go silent for good
 * while new ones work. Destroying the client drops pending calls; their handlers are not called.
 */
class HttpClient
{
public:
    using Handler = std::function<void(HttpOutcome outcome)>;

    HttpClient(boost::asio::io_context &context, Endpoint server, HttpClientLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** \brief Sends \a call; \a handler is called later, never from within this function. */
    void send(HttpCall call, Handler handler);

private:
    std::shared_ptr<internal::HttpClientState> state;
};

} // namespace bulrushgap
