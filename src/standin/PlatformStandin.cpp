#include "standin/PlatformStandin.h"

#include "service/HttpRoutes.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::size_t valueLimit = 1024UL * 1024;
constexpr std::size_t connectionLimit = 512;

// clang-format off
constexpr std::array<Field, 6> platformFields{{
    {"listen", FieldType::Endpoint, "", "", 0, 0, "", "TCP, object API"},
    {"writesPerSecond", FieldType::Integer, "calls/s", "400", 1, 1'000'000, "", "more writes are answered with 429"},
    {"readsPerSecond", FieldType::Integer, "calls/s", "2000", 1, 1'000'000, "", "more reads and watches are answered with 429"},
    {"historyLimit", FieldType::Integer, "events", "1000", 1, 1'000'000, "", "events kept for watches"},
    {"instanceLagMs", FieldType::Integer, "ms", "0", 0, 600'000, "", "age of the list of instances"},
    {"objects", FieldType::Object, "", "{}", 0, 0, "", "initial objects by key"},
}};
// clang-format on

TimePoint platformNow()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

HttpReply jsonReply(const boost::json::object &body, unsigned status = 200)
{
    HttpReply reply;
    reply.status = status;
    reply.body = boost::json::serialize(body);
    return reply;
}

std::optional<std::uint64_t> wholeNumber(const std::optional<std::string> &text)
{
    std::uint64_t number = 0;
    if (!text)
        return std::nullopt;
    const char *end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return number;
}

HttpReply watchReply(std::uint64_t revision, boost::json::array events)
{
    return jsonReply({{"revision", revision}, {"events", std::move(events)}});
}

} // namespace internal

SettingsReader PlatformStandinSettings::reader()
{
    return SettingsReader(internal::platformFields);
}

boost::leaf::result<PlatformStandinSettings> PlatformStandinSettings::load(const std::string &path)
{
    auto view = reader().readFile(path);
    if (!view)
        return view.error();
    PlatformStandinSettings settings;
    settings.listen = view->endpoint("listen");
    settings.writesPerSecond = static_cast<unsigned>(view->integer("writesPerSecond"));
    settings.readsPerSecond = static_cast<unsigned>(view->integer("readsPerSecond"));
    settings.historyLimit = static_cast<std::size_t>(view->integer("historyLimit"));
    settings.instanceLag = view->milliseconds("instanceLagMs");
    settings.objects = view->object("objects");
    return settings;
}

PlatformStandin::PlatformStandin(boost::asio::io_context &context, PlatformStandinSettings settings)
    : context(context)
    , settings(std::move(settings))
    , table(this->settings.historyLimit)
    , reads{static_cast<double>(this->settings.readsPerSecond), internal::platformNow()}
    , writes{static_cast<double>(this->settings.writesPerSecond), internal::platformNow()}
    , server(context, this->settings.listen,
             HttpServerLimits{.connections = internal::connectionLimit})
{
    // Initial objects count as old, so that the lagging list of instances shows them at once.
    for (const auto &entry : this->settings.objects)
        this->table.update(entry.key(), 0, entry.value(), TimePoint{});
    this->addRoutes();
}

void PlatformStandin::serve(std::string_view method, std::string_view pattern,
                            AsyncHttpHandler handler)
{
    const auto guarded = [this, handler = std::move(handler)](const HttpRequestView &request,
                                                              HttpResponder respond) {
        if (this->faults.outage) {
            respond(HttpReply::dropped());
            return;
        }
        if (this->faults.delay.count() == 0) {
            handler(request, std::move(respond));
            return;
        }
        const auto timer
            = std::make_shared<boost::asio::steady_timer>(this->context, this->faults.delay);
        const auto body = std::make_shared<std::string>(request.body);
        timer->async_wait([timer, body, view = request, handler,
                           respond = std::move(respond)](boost::system::error_code) mutable {
            view.body = *body;
            handler(view, std::move(respond));
        });
    };
    this->server.routeAsync(method, pattern, guarded);
}

void PlatformStandin::addRoutes()
{
    const auto limited = [this](bool write, HttpHandler handler) {
        return [this, write, handler = std::move(handler)](const HttpRequestView &request,
                                                           const HttpResponder &respond) {
            respond(this->allowed(write) ? handler(request) : errorReply(429, "rate exceeded"));
        };
    };
    this->serve("GET", "/objects",
                limited(false, [this](const auto &request) { return this->list(request); }));
    this->serve("GET", "/objects/*",
                limited(false, [this](const auto &request) { return this->get(request); }));
    this->serve("GET", "/instances",
                limited(false, [this](const auto &) { return this->instances(); }));
    this->serve("PUT", "/objects/*",
                limited(true, [this](const auto &request) { return this->write(request, false); }));
    this->serve("DELETE", "/objects/*",
                limited(true, [this](const auto &request) { return this->write(request, true); }));
    this->serve("GET", "/watch", [this](const auto &request, const HttpResponder &respond) {
        if (this->allowed(false))
            this->watch(request, respond);
        else
            respond(errorReply(429, "rate exceeded"));
    });
    this->server.route("POST", "/standin/faults",
                       [this](const auto &request) { return this->postFaults(request); });
}

bool PlatformStandin::allowed(bool write)
{
    Bucket &bucket = write ? this->writes : this->reads;
    const double rate = write ? this->settings.writesPerSecond : this->settings.readsPerSecond;
    const TimePoint now = internal::platformNow();
    const double elapsed = std::chrono::duration<double>(now - bucket.filled).count();
    bucket.tokens = std::min(rate, bucket.tokens + elapsed * rate);
    bucket.filled = now;
    if (bucket.tokens < 1) {
        this->counters.add("limited");
        return false;
    }
    bucket.tokens -= 1;
    this->counters.add(write ? "write" : "read");
    return true;
}

HttpReply PlatformStandin::get(const HttpRequestView &request) const
{
    const std::string &key = request.captures.front();
    const ObjectTable::Entry *entry = this->table.find(key);
    if (entry == nullptr)
        return errorReply(404, "no object " + key);
    return internal::jsonReply(
        {{"key", key}, {"version", entry->version}, {"value", entry->value}});
}

HttpReply PlatformStandin::list(const HttpRequestView &request) const
{
    const std::string prefix = request.parameter("prefix").value_or("");
    return internal::jsonReply(
        {{"revision", this->table.revision()}, {"objects", this->table.list(prefix)}});
}

HttpReply PlatformStandin::instances() const
{
    const TimePoint then = internal::platformNow() - this->settings.instanceLag;
    return internal::jsonReply(
        {{"revision", this->table.revision()}, {"objects", this->table.instancesAt(then)}});
}

HttpReply PlatformStandin::write(const HttpRequestView &request, bool remove)
{
    const std::string &key = request.captures.front();
    const auto version = internal::wholeNumber(request.ifMatch);
    if (!version)
        return errorReply(428, "header If-Match with a version is required");
    if (request.body.size() > internal::valueLimit)
        return errorReply(413, "value above 1 MB");
    std::optional<boost::json::value> value;
    if (!remove) {
        boost::system::error_code error;
        value = boost::json::parse(request.body, error);
        if (error)
            return errorReply(400, "malformed JSON");
    }
    if (!this->table.update(key, *version, std::move(value), internal::platformNow()))
        return internal::jsonReply({{"version", this->table.version(key)}}, 409);
    this->wakeWatches();
    if (this->faults.loseAnswers > 0) {
        --this->faults.loseAnswers;
        return HttpReply::dropped();
    }
    return internal::jsonReply({{"version", this->table.revision()}});
}

HttpReply PlatformStandin::postFaults(const HttpRequestView &request)
{
    boost::system::error_code error;
    const boost::json::value body = boost::json::parse(request.body, error);
    if (error || !body.is_object())
        return errorReply(400, "expected {\"outage\": bool, \"delayMs\": N, \"loseAnswers\": N}");
    const auto number = [&](std::string_view name, std::int64_t current) {
        const auto *member = body.if_object()->if_contains(name);
        return member != nullptr && member->is_int64() ? *member->if_int64() : current;
    };
    PlatformFaults next = this->faults;
    const auto *outage = body.if_object()->if_contains("outage");
    if (outage != nullptr && outage->is_bool())
        next.outage = *outage->if_bool();
    next.delay = std::chrono::milliseconds(number("delayMs", next.delay.count()));
    next.loseAnswers = static_cast<unsigned>(number("loseAnswers", next.loseAnswers));
    this->setFaults(next);
    return internal::jsonReply({{"outage", next.outage},
                                {"delayMs", next.delay.count()},
                                {"loseAnswers", next.loseAnswers}});
}

void PlatformStandin::watch(const HttpRequestView &request, HttpResponder respond)
{
    constexpr std::uint64_t longestWatchMs = 60'000;
    this->counters.add("watch");
    const std::string prefix = request.parameter("prefix").value_or("");
    const auto since = internal::wholeNumber(request.parameter("since"));
    const auto timeout = internal::wholeNumber(request.parameter("timeout"));
    if (!since || !timeout) {
        respond(errorReply(400, "parameters since and timeout are required"));
        return;
    }
    auto events = this->table.eventsSince(prefix, *since);
    if (!events) {
        respond(errorReply(410, "history does not reach back to revision"));
        return;
    }
    if (!events->empty() || *timeout == 0) {
        respond(internal::watchReply(this->table.revision(), std::move(*events)));
        return;
    }
    const auto entry
        = std::make_shared<Waiting>(Waiting{prefix, this->table.revision(), std::move(respond),
                                            boost::asio::steady_timer(this->context)});
    this->waiting.push_back(entry);
    entry->timer.expires_after(std::chrono::milliseconds(std::min(*timeout, longestWatchMs)));
    entry->timer.async_wait([this, entry](boost::system::error_code error) {
        if (!error && std::erase(this->waiting, entry) > 0)
            entry->respond(internal::watchReply(this->table.revision(), {}));
    });
}

void PlatformStandin::wakeWatches()
{
    const auto wake = [this](const std::shared_ptr<Waiting> &entry) {
        auto events = this->table.eventsSince(entry->prefix, entry->since);
        if (events && events->empty())
            return false;
        entry->timer.cancel();
        entry->respond(events ? internal::watchReply(this->table.revision(), std::move(*events))
                              : errorReply(410, "history does not reach back to the revision"));
        return true;
    };
    std::erase_if(this->waiting, wake);
}

void PlatformStandin::setFaults(PlatformFaults faults)
{
    this->faults = faults;
    if (!faults.outage)
        return;
    for (const auto &entry : std::exchange(this->waiting, {})) {
        entry->timer.cancel();
        entry->respond(HttpReply::dropped());
    }
}

} // namespace bulrushgap
