#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

struct HttpParameter
{
    std::string name;
    std::string value;
};

/** \brief A request as a handler of HttpServer sees it; \a body is valid only during the call. */
struct HttpRequestView
{
    std::string method;
    std::string path;                  //!< Decoded.
    std::vector<std::string> captures; //!< Parts of the path that "{}" and "*" stand for.
    std::vector<HttpParameter> query;  //!< Decoded.
    std::optional<std::string> ifMatch;
    std::string_view body;

    /** \returns the value of a query parameter, or nothing. */
    [[nodiscard]] std::optional<std::string> parameter(std::string_view name) const
    {
        for (const HttpParameter &parameter : this->query) {
            if (parameter.name == name)
                return parameter.value;
        }
        return std::nullopt;
    }
};

struct HttpReply
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::string etag;  //!< Sent as header ETag unless empty.
    bool drop = false; //!< Closes the connection without an answer; for stand-ins.

    /** \returns a reply that closes the connection without an answer. */
    [[nodiscard]] static HttpReply dropped()
    {
        HttpReply reply;
        reply.drop = true;
        return reply;
    }
};

/** \brief Sends the reply of a handler; must be called once. */
using HttpResponder = std::function<void(HttpReply reply)>;

using HttpHandler = std::function<HttpReply(const HttpRequestView &request)>;
using AsyncHttpHandler = std::function<void(const HttpRequestView &request, HttpResponder respond)>;

} // namespace bulrushgap
