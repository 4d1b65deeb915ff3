#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

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
    std::chrono::milliseconds timeout{2'000}; //!< Of the whole call, including time in the queue.

    /** Whether the server may run the call twice. If a reused connection fails, the call is then
     * retried on a new one; half of the timeout is reserved for the second attempt. */
    bool idempotent = false;

    /** Timeout of connecting; \a timeout limits it as well. */
    std::chrono::milliseconds connectTimeout{2'000};

    std::string answerHeader = {}; //!< Name of a header that the outcome tells; may be empty.

    /** If set, \a timeout ends when the answer begins to arrive; from then on the call fails after
     * this time without further bytes. Answers differ in size, and links in rate. */
    std::optional<std::chrono::milliseconds> idleTimeout = std::nullopt;

    /** If set, the call fails at once if its answer is larger; otherwise the client's limit holds.
     */
    std::optional<std::size_t> maxBodyBytes = std::nullopt;
};

/** \brief Why a call has no response. */
enum class HttpFailure {
    None,
    NotSent,    //!< Nothing was sent, so the server has not seen the request.
    NoResponse, //!< The request was sent, at least in part; the server may have run it.
};

struct HttpOutcome
{
    HttpFailure failure = HttpFailure::None;
    unsigned status = 0;
    std::string body;
    std::string etag;
    std::string header = {}; //!< Value of HttpCall::answerHeader; empty if there is none.
    bool brokenOff = false;  //!< The call failed although a part of its answer had arrived.
    bool tooLarge = false;   //!< The call failed as its answer exceeds the limit.
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

/** \brief Asynchronous HTTP/1.1 client of one server with a small connection pool.
 *
 * When a call times out, all idle connections are closed, because existing connections can stop
 * working without an error while new ones succeed. Destroying the client cancels pending calls
 * without calling their handlers.
 */
class HttpClient
{
public:
    using Handler = std::function<void(HttpOutcome outcome)>;

    HttpClient(boost::asio::io_context &context, Endpoint server, HttpClientLimits limits = {});
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /** \brief Sends \a call; \a handler is never called from within this function. */
    void send(HttpCall call, Handler handler);

    /** \brief Replaces the server for later calls; pending calls fail, and their handlers are
     * called asynchronously. */
    void setServer(Endpoint server);

    /** \returns when bytes of an answer that is still incomplete last arrived, or nothing. */
    [[nodiscard]] std::optional<TimePoint> lastArrival() const;

private:
    std::shared_ptr<internal::HttpClientState> state;
};

} // namespace bulrushgap
