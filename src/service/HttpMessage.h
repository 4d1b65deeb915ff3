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

/** \brief Request passed to a handler of HttpServer; \a body is valid only during the call. */
struct HttpRequestView
{
    std::string method;
    std::string path;                  //!< Percent-decoded.
    std::vector<std::string> captures; //!< Parts of the path that match "{}" and "*".
    std::vector<HttpParameter> query;  //!< Percent-decoded.
    std::optional<std::string> ifMatch;
    std::string_view body;

    /** \returns the value of a query parameter, or nothing if it is missing. */
    [[nodiscard]] std::optional<std::string> parameter(std::string_view name) const
    {
        for (const HttpParameter &parameter : this->query) {
            if (parameter.name == name)
                return parameter.value;
        }
        return std::nullopt;
    }
};

/** \brief Header of a reply. */
struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpReply
{
    unsigned status = 200;
    std::string body;
    std::string contentType = "application/json";
    std::string etag;                     //!< Sent as header ETag unless empty.
    std::vector<HttpHeader> headers = {}; //!< Further ones.
    bool drop = false; //!< Closes the connection without a response; for stand-ins.

    /** \returns a reply that closes the connection without a response. */
    [[nodiscard]] static HttpReply dropped()
    {
        HttpReply reply;
        reply.drop = true;
        return reply;
    }
};

/** \brief Sends the reply to a request; must be called exactly once. */
using HttpResponder = std::function<void(HttpReply reply)>;

using HttpHandler = std::function<HttpReply(const HttpRequestView &request)>;
using AsyncHttpHandler = std::function<void(const HttpRequestView &request, HttpResponder respond)>;

} // namespace bulrushgap
