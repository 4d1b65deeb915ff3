#include "store/PlatformClient.h"

#include "store/CallResult.h"
#include "store/TolerantParse.h"

#include <boost/json/serialize.hpp>
#include <boost/url/encode.hpp>
#include <boost/url/rfc/pchars.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>

#include <utility>

namespace bulrushgap {

namespace internal {

std::string encodedKey(std::string_view key)
{
    return boost::urls::encode(key, boost::urls::unreserved_chars + '/');
}

std::optional<boost::json::value> memberValue(const boost::json::object &object,
                                              std::string_view name)
{
    // Unlike null, a text does not pass for a deleted object; no kind of object accepts it.
    if (object.contains(unreadableMember))
        return boost::json::value("unreadable");
    const auto *member = object.if_contains(name);
    return member == nullptr || member->is_null() ? std::nullopt
                                                  : std::optional<boost::json::value>(*member);
}

PlatformResult resultOf(const HttpOutcome &outcome, PlatformResult ambiguous)
{
    return bulrushgap::resultOf(outcome, ambiguous, Status503::MayHaveExecuted);
}

StoredObject storedObject(const boost::json::object &object)
{
    return StoredObject{memberText(object, "key"), memberNumber(object, "version"),
                        memberValue(object, "value").value_or(nullptr)};
}

ListOutcome listOutcome(const HttpOutcome &outcome)
{
    ListOutcome list;
    list.result = resultOf(outcome, PlatformResult::Unavailable);
    const auto body = objectsBodyOf(outcome, list.result);
    list.revision = memberNumber(body, "revision");
    const auto *objects = memberList(body, "objects");
    if (objects == nullptr)
        return list;
    for (const auto &entry : *objects) {
        if (entry.is_object())
            list.objects.push_back(storedObject(*entry.if_object()));
    }
    return list;
}

WatchOutcome watchOutcome(const HttpOutcome &outcome)
{
    WatchOutcome watch;
    watch.result = resultOf(outcome, PlatformResult::Unavailable);
    const auto body = objectsBodyOf(outcome, watch.result);
    watch.revision = memberNumber(body, "revision");
    const auto *events = memberList(body, "events");
    if (events == nullptr)
        return watch;
    for (const auto &entry : *events) {
        const auto *event = entry.if_object();
        if (event != nullptr)
            watch.events.push_back(WatchEvent{memberText(*event, "key"),
                                              memberNumber(*event, "version"),
                                              memberValue(*event, "value")});
    }
    return watch;
}

} // namespace internal

PlatformClient::PlatformClient(boost::asio::io_context &context, Endpoint platform,
                               Counters &counters, PlatformTimeouts timeouts)
    : counters(counters)
    , timeouts(timeouts)
    , calls(context, platform)
    , watches(context, platform)
{}

void PlatformClient::read(std::string target, ListHandler handler)
{
    this->counters.add("platform_read");
    HttpCall call;
    call.target = std::move(target);
    call.timeout = this->timeouts.call;
    call.idleTimeout = this->timeouts.idle;
    call.idempotent = true;
    this->calls.send(std::move(call), [handler = std::move(handler)](const HttpOutcome &outcome) {
        handler(internal::listOutcome(outcome));
    });
}

void PlatformClient::list(std::string_view prefix, ListHandler handler)
{
    this->read("/objects?prefix=" + internal::encodedKey(prefix), std::move(handler));
}

void PlatformClient::instances(ListHandler handler)
{
    this->read("/instances", std::move(handler));
}

void PlatformClient::get(std::string_view key, GetHandler handler)
{
    this->counters.add("platform_read");
    HttpCall call;
    call.target = "/objects/" + internal::encodedKey(key);
    call.timeout = this->timeouts.call;
    call.idleTimeout = this->timeouts.idle;
    call.idempotent = true;
    this->calls.send(std::move(call), [handler = std::move(handler)](const HttpOutcome &outcome) {
        GetOutcome get;
        get.result = internal::resultOf(outcome, PlatformResult::Unavailable);
        const auto body = bodyOf(outcome, PlatformResult::Unavailable, get.result);
        get.object = internal::storedObject(body);
        handler(std::move(get));
    });
}

void PlatformClient::write(HttpCall call, WriteHandler handler)
{
    this->counters.add("platform_write");
    call.timeout = this->timeouts.call;
    this->calls.send(std::move(call), [handler = std::move(handler)](const HttpOutcome &outcome) {
        WriteOutcome write;
        write.result = internal::resultOf(outcome, PlatformResult::LostAnswer);
        const auto body = bodyOf(outcome, PlatformResult::LostAnswer, write.result);
        write.version = memberNumber(body, "version");
        handler(write);
    });
}

void PlatformClient::put(std::string_view key, const boost::json::value &value,
                         std::uint64_t version, WriteHandler handler)
{
    HttpCall call;
    call.method = "PUT";
    call.target = "/objects/" + internal::encodedKey(key);
    call.ifMatch = std::to_string(version);
    call.body = boost::json::serialize(value);
    this->write(std::move(call), std::move(handler));
}

void PlatformClient::remove(std::string_view key, std::uint64_t version, WriteHandler handler)
{
    HttpCall call;
    call.method = "DELETE";
    call.target = "/objects/" + internal::encodedKey(key);
    call.ifMatch = std::to_string(version);
    this->write(std::move(call), std::move(handler));
}

void PlatformClient::watch(std::string_view prefix, StoreRevision since, WatchHandler handler)
{
    constexpr std::chrono::milliseconds responseMargin{2'000};
    this->counters.add("platform_watch");
    HttpCall call;
    call.target = "/watch?prefix=" + internal::encodedKey(prefix)
                  + "&since=" + std::to_string(since.number)
                  + "&timeout=" + std::to_string(this->timeouts.watch.count());
    call.timeout = this->timeouts.watch + responseMargin;
    call.idleTimeout = this->timeouts.idle;
    this->watches.send(std::move(call), [handler = std::move(handler)](const HttpOutcome &outcome) {
        handler(internal::watchOutcome(outcome));
    });
}

} // namespace bulrushgap
