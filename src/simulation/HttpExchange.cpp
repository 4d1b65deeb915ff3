#include "simulation/HttpExchange.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

namespace http = boost::beast::http;

constexpr std::uint64_t bodyLimit = 1024UL * 1024;

Bytes toBytes(std::string head, std::size_t bodyBytes)
{
    head += "Content-Length: " + std::to_string(bodyBytes) + "\r\n\r\n";
    head.append(bodyBytes, 'x');
    const auto bytes = bytesOf(head);
    return {bytes.begin(), bytes.end()};
}

std::string text(boost::beast::string_view view)
{
    return {view.data(), view.size()};
}

/** \brief Feeds bytes to one parser after the other; \a handler gets each complete message. */
template <bool isRequest, typename Handler>
class MessageStream
{
public:
    using Parser = http::parser<isRequest, http::string_body>;

    explicit MessageStream(Handler handler)
        : handler(std::move(handler))
    {}

    void append(std::span<const std::byte> bytes)
    {
        this->rest.append(textOf(bytes));
        while (!this->broken && !this->rest.empty() && this->step()) {
        }
    }

    bool broken = false;

private:
    /** \returns whether there may be more to read. */
    bool step()
    {
        if (!this->parser) {
            this->parser.emplace();
            this->parser->eager(true);
            this->parser->body_limit(bodyLimit);
        }
        boost::system::error_code error;
        const std::size_t used = this->parser->put(boost::asio::buffer(this->rest), error);
        this->rest.erase(0, used);
        if (error && error != http::error::need_more) {
            this->broken = true;
            return false;
        }
        if (!this->parser->is_done())
            return !error && used > 0;
        const auto message = this->parser->release();
        this->parser.reset();
        this->handler(message);
        return true;
    }

    Handler handler;
    std::optional<Parser> parser;
    std::string rest;
};

using RequestMessage = http::request<http::string_body>;
using AnswerMessage = http::response<http::string_body>;

struct RequestStreamState
{
    explicit RequestStreamState(std::function<void(const RequestMessage &)> handler)
        : stream(std::move(handler))
    {}

    MessageStream<true, std::function<void(const RequestMessage &)>> stream;
};

struct AnswerStreamState
{
    explicit AnswerStreamState(std::function<void(const AnswerMessage &)> handler)
        : stream(std::move(handler))
    {}

    MessageStream<false, std::function<void(const AnswerMessage &)>> stream;
};

} // namespace internal

Bytes HttpRequest::toBytes() const
{
    return internal::toBytes(this->method + ' ' + this->path
                                 + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + this->id + "\r\n",
                             this->bodyBytes);
}

Bytes HttpAnswer::toBytes() const
{
    std::string head = "HTTP/1.1 " + std::to_string(this->status)
                       + " answer\r\nX-Request-Id: " + this->requestId + "\r\n";
    head += this->stamp.empty() ? "X-Not-Executed: 1\r\n"
                                : "X-Server-Stamp: " + this->stamp + "\r\n";
    return internal::toBytes(std::move(head), this->bodyBytes);
}

RequestStream::RequestStream(Handler handler)
{
    const auto onMessage = [handler = std::move(handler)](const internal::RequestMessage &message) {
        HttpRequest request;
        request.id = internal::text(message["X-Request-Id"]);
        request.method = internal::text(message.method_string());
        request.path = internal::text(message.target());
        request.bodyBytes = message.body().size();
        handler(request);
    };
    this->state = std::make_unique<internal::RequestStreamState>(onMessage);
}

RequestStream::~RequestStream() = default;

void RequestStream::append(std::span<const std::byte> bytes)
{
    this->state->stream.append(bytes);
}

AnswerStream::AnswerStream(Handler handler)
{
    const auto onMessage = [handler = std::move(handler)](const internal::AnswerMessage &message) {
        HttpAnswer answer;
        answer.status = message.result_int();
        answer.requestId = internal::text(message["X-Request-Id"]);
        answer.stamp = internal::text(message["X-Server-Stamp"]);
        answer.bodyBytes = message.body().size();
        handler(answer);
    };
    this->state = std::make_unique<internal::AnswerStreamState>(onMessage);
}

AnswerStream::~AnswerStream() = default;

void AnswerStream::append(std::span<const std::byte> bytes)
{
    this->state->stream.append(bytes);
}

bool AnswerStream::isBroken() const
{
    return this->state->stream.broken;
}

} // namespace bulrushgap::simulation
