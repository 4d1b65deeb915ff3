#pragma once

#include "wire/Bytes.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap::simulation {

/** \brief A request as a caller sends it inside a flow. */
struct HttpRequest
{
    std::string id; //!< Header X-Request-Id, unique.
    std::string method = "GET";
    std::string path = "/";
    std::size_t bodyBytes = 0;

    [[nodiscard]] Bytes toBytes() const;
};

/** \brief An answer as an upstream sends it inside a flow. */
struct HttpAnswer
{
    unsigned status = 200;
    std::string requestId;
    std::string stamp; //!< Name of the upstream that ran the request; empty if none did.
    std::size_t bodyBytes = 0;

    [[nodiscard]] Bytes toBytes() const;
};

namespace internal {
struct RequestStreamState;
struct AnswerStreamState;
} // namespace internal

/** \brief Reads requests from the bytes of a flow. */
class RequestStream
{
public:
    using Handler = std::function<void(const HttpRequest &request)>;

    explicit RequestStream(Handler handler);
    ~RequestStream();

    void append(std::span<const std::byte> bytes);

private:
    std::unique_ptr<internal::RequestStreamState> state;
};

/** \brief Reads answers from the bytes of a flow. */
class AnswerStream
{
public:
    using Handler = std::function<void(const HttpAnswer &answer)>;

    explicit AnswerStream(Handler handler);
    ~AnswerStream();

    void append(std::span<const std::byte> bytes);

    /** \returns whether the bytes so far are no answers in the protocol. */
    [[nodiscard]] bool isBroken() const;

private:
    std::unique_ptr<internal::AnswerStreamState> state;
};

} // namespace bulrushgap::simulation
