#include "role/MirrorServer.h"

#include "platform/ObjectCodec.h"

#include <charconv>
#include <utility>

namespace bulrushgap {

namespace internal {

/** \returns the number that the text holds, or 0. */
std::uint32_t waitOf(const std::optional<std::string> &text)
{
    std::uint32_t number = 0;
    if (text)
        std::from_chars(text->data(), text->data() + text->size(), number);
    return number;
}

std::uint64_t revisionOf(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

HttpReply httpReply(balance::MirrorReply reply)
{
    HttpReply http;
    http.status = 503;
    http.body = "{}";
    if (reply.result == PlatformResult::Gone)
        http.status = 410;
    if (reply.result == PlatformResult::Ok) {
        http.status = 200;
        http.body = std::move(reply.body);
    }
    return http;
}

} // namespace internal

MirrorServer::MirrorServer(HttpServer &server, balance::ObjectMirror &mirror)
    : mirror(mirror)
{
    server.routeAsync("GET", platform::objectsPattern,
                      [this](const HttpRequestView &request, const HttpResponder &respond) {
                          this->onRequest(request, respond);
                      });
}

void MirrorServer::onRequest(const HttpRequestView &request, const HttpResponder &respond)
{
    const std::string &kind = request.captures.front();
    const auto answer = [respond](balance::MirrorReply reply) {
        respond(internal::httpReply(std::move(reply)));
    };
    const auto since = request.parameter(platform::watchParameter);
    if (!since) {
        this->mirror.list(kind, answer);
        return;
    }
    const std::chrono::milliseconds wait(
        internal::waitOf(request.parameter(platform::waitParameter)));
    this->mirror.watch(kind, internal::revisionOf(*since), wait, answer);
}

} // namespace bulrushgap
