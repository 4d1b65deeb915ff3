#include "service/HttpRoutes.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace bulrushgap {

namespace internal {

std::vector<std::string> splitPath(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::string_view segment = path.substr(0, path.find('/'));
        segments.emplace_back(segment);
        path.remove_prefix(segment.size());
    }
    return segments;
}

std::string joinSegments(const std::vector<std::string> &segments, std::size_t first)
{
    std::string text;
    for (std::size_t i = first; i < segments.size(); ++i)
        text += (i > first ? "/" : "") + segments[i];
    return text;
}

/** \brief Matches \a path and stores the parts that match placeholders in \a captures. */
bool matchesPattern(const std::vector<std::string> &pattern, const std::vector<std::string> &path,
                    std::vector<std::string> &captures)
{
    captures.clear();
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (i >= path.size())
            return false;
        if (pattern[i] == "*") {
            captures.push_back(joinSegments(path, i));
            return true;
        }
        if (pattern[i] == "{}" && !path[i].empty())
            captures.push_back(path[i]);
        else if (pattern[i] != path[i])
            return false;
    }
    return pattern.size() == path.size();
}

} // namespace internal

HttpReply errorReply(unsigned status, std::string_view message)
{
    HttpReply reply;
    reply.status = status;
    reply.body = boost::json::serialize(boost::json::object{{"error", message}});
    return reply;
}

void HttpRoutes::add(std::string_view method, std::string_view pattern, AsyncHttpHandler handler)
{
    this->routes.push_back(
        Route{std::string(method), internal::splitPath(pattern), std::move(handler)});
}

void HttpRoutes::dispatch(HttpRequestView &request, HttpResponder respond) const
{
    const std::vector<std::string> path = internal::splitPath(request.path);
    bool pathKnown = false;
    for (const Route &route : this->routes) {
        if (!internal::matchesPattern(route.pattern, path, request.captures))
            continue;
        if (route.method == request.method) {
            route.handler(request, std::move(respond));
            return;
        }
        pathKnown = true;
    }
    if (pathKnown)
        respond(errorReply(405, "method not allowed for " + request.path));
    else
        respond(errorReply(404, "no such path: " + request.path));
}

} // namespace bulrushgap
