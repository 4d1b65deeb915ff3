#pragma once

#include "service/HttpMessage.h"

#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Routing table; the first route whose pattern and method match is used. */
class HttpRoutes
{
public:
    void add(std::string_view method, std::string_view pattern, AsyncHttpHandler handler);

    /** \brief Calls the handler of the route, or responds with 404 or 405. */
    void dispatch(HttpRequestView &request, HttpResponder respond) const;

private:
    struct Route
    {
        std::string method;
        std::vector<std::string> pattern;
        AsyncHttpHandler handler;
    };

    std::vector<Route> routes;
};

/** \returns a reply with the body {"error": MESSAGE}. */
[[nodiscard]] HttpReply errorReply(unsigned status, std::string_view message);

} // namespace bulrushgap
