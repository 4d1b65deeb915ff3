#include "service/HttpRoutes.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace bulrushgap {

namespace internal {

std::vector<std::string> segments(std::string_view path)
{
    std::vector<std::string> parts;
    while (!path.empty()) {
        path.remove_prefix(1);
        const std::string_view part = path.substr(0, path.find('/'));
        parts.emplace_back(part);
        path.remove_prefix(part.size());
    }
    return parts;
}

std::string join(const std::vector<std::string> &parts, std::size_t first)
{
    std::string text;
    for (std::size_t i = first; i < parts.size(); ++i)
        text += (i > first ? "/" : "") + parts[i];
    return text;
}

/** \brief Matches \a path and stores what the placeholders stand for in \a captures. */
bool matches(const std::vector<std::string> &pattern, const std::vector<std::string> &path,
             std::vector<std::string> &captures)
{
    captures.clear();
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (i >= path.size())
            return false;
        if (pattern[i] == "*") {
            captures.push_back(join(path, i));
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
        Route{std::string(method), internal::segments(pattern), std::move(handler)});
}

void HttpRoutes::dispatch(HttpRequestView &request, HttpResponder respond) const
{
    const std::vector<std::string> path = internal::segments(request.path);
    bool pathKnown = false;
    for (const Route &route : this->routes) {
        if (!internal::matches(route.pattern, path, request.captures))
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
