#include "admin/AdminApi.h"

#include "admin/AdminReplies.h"
#include "admin/LabelMatcher.h"
#include "service/HttpRoutes.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <memory>
#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::array operatorKinds{ObjectKind::Service, ObjectKind::Upstream, ObjectKind::Domain};

std::string keyOf(ObjectKind kind, const std::string &name)
{
    return std::string(toString(kind)) + '/' + name;
}

std::string pathOf(ObjectKind kind)
{
    return "/v1/" + std::string(toString(kind)) + 's';
}

/** \brief Version that a request names. */
struct RequestedVersion
{
    bool given = false;
    bool valid = true;
    std::uint64_t version = 0;
};

RequestedVersion requestedVersion(const HttpRequestView &request)
{
    RequestedVersion requested;
    if (!request.ifMatch)
        return requested;
    const char *end = request.ifMatch->data() + request.ifMatch->size();
    const auto parsed = std::from_chars(request.ifMatch->data(), end, requested.version);
    requested.given = true;
    requested.valid = parsed.ec == std::errc{} && parsed.ptr == end;
    return requested;
}

/** \returns the body as JSON object, or nothing if it is none. */
std::optional<boost::json::object> bodyObject(const HttpRequestView &request)
{
    boost::system::error_code error;
    boost::json::value body = boost::json::parse(request.body, error);
    if (error || !body.is_object())
        return std::nullopt;
    return std::move(*body.if_object());
}

/** \returns why the version of a request does not fit the object, or nothing. */
std::optional<HttpReply> versionFault(const RequestedVersion &requested, std::uint64_t current)
{
    if (!requested.valid)
        return errorReply(400, "header If-Match must be a version");
    if (!requested.given && current != 0)
        return versionRequiredReply(current);
    if (requested.given && requested.version != current)
        return failureReply(PlatformResult::Conflict, current);
    return std::nullopt;
}

/** \returns a fault for each member of a label patch that is neither text nor null. */
std::vector<Fault> patchFaults(const boost::json::object &patch)
{
    std::vector<Fault> faults;
    for (const auto &member : patch) {
        if (!member.value().is_string() && !member.value().is_null())
            faults.push_back(Fault{std::string("labels.") + std::string(member.key()),
                                   "text, or null to remove the label",
                                   describeFound(member.value())});
    }
    return faults;
}

std::optional<LabelMatcher> selectorOf(const boost::json::object &body)
{
    const auto *selector = body.if_contains("selector");
    if (selector == nullptr || !selector->is_string())
        return std::nullopt;
    return LabelMatcher::parse(std::string_view(*selector->if_string()));
}

} // namespace internal

AdminApi::AdminApi(HttpServer &server, ObjectStore &store, AdminHooks hooks)
    : server(server)
    , store(store)
    , hooks(std::move(hooks))
    , writer(store)
    , changer(store)
{
    for (const ObjectKind kind : internal::operatorKinds)
        this->addObjectRoutes(kind);
    this->addLabelRoutes(ObjectKind::Upstream);
    this->addLabelRoutes(ObjectKind::Domain);
    this->addActionRoutes();
    this->addStatusRoutes();
}

void AdminApi::addObjectRoutes(ObjectKind kind)
{
    const std::string path = internal::pathOf(kind);
    this->server.routeAsync("GET", path, [this, kind](const auto &request, const auto &respond) {
        this->list(kind, request, respond);
    });
    this->server.routeAsync("GET", path + "/{}",
                            [this, kind](const auto &request, const auto &respond) {
                                this->get(internal::keyOf(kind, request.captures.front()), respond);
                            });
    this->server.routeAsync("PUT", path + "/{}",
                            [this, kind](const auto &request, const auto &respond) {
                                this->put(kind, request, respond);
                            });
    this->server.routeAsync(
        "DELETE", path + "/{}", [this, kind](const auto &request, const auto &respond) {
            this->remove(internal::keyOf(kind, request.captures.front()), request, respond);
        });
}

void AdminApi::addLabelRoutes(ObjectKind kind)
{
    this->server.routeAsync("PATCH", internal::pathOf(kind) + "/{}/labels",
                            [this, kind](const auto &request, const auto &respond) {
                                this->patchLabels(kind, request, respond);
                            });
}

void AdminApi::addActionRoutes()
{
    const LabelChange drain{"state", "draining", std::nullopt};
    const LabelChange undrain{"state", std::nullopt, "draining"};
    const LabelChange takeOut{"state", "out", std::nullopt};
    const LabelChange bringBack{"state", std::nullopt, "out"};
    const auto selected = [this](const LabelChange &change) {
        return [this, change](const HttpRequestView &request, const HttpResponder &respond) {
            this->changeSelected(request, change, respond);
        };
    };
    const auto domain = [this](const LabelChange &change) {
        return [this, change](const HttpRequestView &request, const HttpResponder &respond) {
            this->changeDomain(request.captures.front(), change, respond);
        };
    };
    this->server.routeAsync("POST", "/v1/drain", selected(drain));
    this->server.routeAsync("POST", "/v1/undrain", selected(undrain));
    this->server.routeAsync("POST", "/v1/domains/{}/takeout", domain(takeOut));
    this->server.routeAsync("POST", "/v1/domains/{}/bringback", domain(bringBack));
}

void AdminApi::addStatusRoutes()
{
    const auto plain = [](unsigned status, std::string body) {
        HttpReply reply;
        reply.status = status;
        reply.body = std::move(body);
        reply.contentType = "text/plain; version=0.0.4";
        return reply;
    };
    this->server.route("GET", "/v1/status", [this](const auto &) {
        return internal::statusReply(this->hooks.status());
    });
    this->server.routeAsync("GET", "/v1/config", [this](const auto &, const auto &respond) {
        this->configVersion(respond);
    });
    this->server.route("GET", "/metrics",
                       [this, plain](const auto &) { return plain(200, this->hooks.metrics()); });
    this->server.route("GET", "/healthz", [plain](const auto &) { return plain(200, "ok\n"); });
    this->server.route("GET", "/readyz", [this, plain](const auto &) {
        return this->hooks.ready() ? plain(200, "ready\n") : plain(503, "not ready\n");
    });
}

void AdminApi::list(ObjectKind kind, const HttpRequestView &request, const HttpResponder &respond)
{
    const auto selector = request.parameter("selector");
    const auto matcher = selector ? LabelMatcher::parse(*selector) : std::nullopt;
    if (selector && !matcher) {
        respond(errorReply(400, "malformed selector: " + *selector));
        return;
    }
    const std::string prefix = std::string(toString(kind)) + '/';
    this->store.list(prefix, [matcher, respond](ListOutcome outcome) {
        if (outcome.result != PlatformResult::Ok) {
            respond(internal::failureReply(outcome.result, 0));
            return;
        }
        if (matcher)
            std::erase_if(outcome.objects,
                          [&](const auto &object) { return !matcher->matches(object.value); });
        respond(internal::listReply(outcome.objects));
    });
}

void AdminApi::get(const std::string &key, const HttpResponder &respond)
{
    this->store.get(key, [respond](const GetOutcome &outcome) {
        respond(outcome.result == PlatformResult::Ok ? internal::objectReply(outcome.object)
                                                     : internal::failureReply(outcome.result, 0));
    });
}

void AdminApi::replace(const StoredObject &object, std::optional<boost::json::value> value,
                       const HttpResponder &respond)
{
    const auto onWritten = [key = object.key, respond](const WriteReport &report) {
        respond(internal::writeReply(key, report));
    };
    this->writer.write(object.key, std::move(value), object.version.number, onWritten);
}

void AdminApi::put(ObjectKind kind, const HttpRequestView &request, const HttpResponder &respond)
{
    auto body = internal::bodyObject(request);
    if (!body) {
        respond(internal::faultsReply({Fault{"", "JSON object", "other text"}}));
        return;
    }
    const boost::json::value value = std::move(*body);
    const auto faults = this->hooks.validate(kind, value);
    if (!faults.empty()) {
        respond(internal::faultsReply(faults));
        return;
    }
    const std::string key = internal::keyOf(kind, request.captures.front());
    const auto requested = internal::requestedVersion(request);
    // The read before the write tells an unreachable platform apart from a lost answer.
    this->store.get(key, [this, key, value, requested, respond](const GetOutcome &outcome) {
        const bool absent = outcome.result == PlatformResult::NotFound;
        const std::uint64_t current = absent ? 0 : outcome.object.version.number;
        if (!absent && outcome.result != PlatformResult::Ok)
            respond(internal::failureReply(outcome.result, 0));
        else if (auto fault = internal::versionFault(requested, current))
            respond(std::move(*fault));
        else
            this->replace(StoredObject{key, current, nullptr}, value, respond);
    });
}

void AdminApi::remove(const std::string &key, const HttpRequestView &request,
                      const HttpResponder &respond)
{
    const auto requested = internal::requestedVersion(request);
    this->store.get(key, [this, requested, respond](const GetOutcome &outcome) {
        if (outcome.result != PlatformResult::Ok)
            respond(internal::failureReply(outcome.result, 0));
        else if (auto fault = internal::versionFault(requested, outcome.object.version.number))
            respond(std::move(*fault));
        else
            this->replace(outcome.object, std::nullopt, respond);
    });
}

void AdminApi::patchLabels(ObjectKind kind, const HttpRequestView &request,
                           const HttpResponder &respond)
{
    const auto patch = internal::bodyObject(request);
    const auto faults = patch ? internal::patchFaults(*patch)
                              : std::vector<Fault>{Fault{"", "JSON object", "other text"}};
    if (!faults.empty()) {
        respond(internal::faultsReply(faults));
        return;
    }
    const auto requested = internal::requestedVersion(request);
    const auto onRead = [this, kind, patch, requested, respond](const GetOutcome &outcome) {
        if (outcome.result != PlatformResult::Ok) {
            respond(internal::failureReply(outcome.result, 0));
            return;
        }
        if (auto fault = internal::versionFault(requested, outcome.object.version.number)) {
            respond(std::move(*fault));
            return;
        }
        boost::json::value value = outcome.object.value;
        for (const auto &member : *patch) {
            const auto *text = member.value().if_string();
            applyLabel(value, std::string(member.key()),
                       text == nullptr ? std::nullopt
                                       : std::optional<std::string>(std::string_view(*text)));
        }
        const auto invalid = this->hooks.validate(kind, value);
        if (invalid.empty())
            this->replace(outcome.object, std::move(value), respond);
        else
            respond(internal::faultsReply(invalid));
    };
    this->store.get(internal::keyOf(kind, request.captures.front()), onRead);
}

void AdminApi::changeSelected(const HttpRequestView &request, const LabelChange &change,
                              const HttpResponder &respond)
{
    const auto body = internal::bodyObject(request);
    const auto matcher = body ? internal::selectorOf(*body) : std::nullopt;
    if (!matcher) {
        respond(internal::faultsReply(
            {Fault{"selector", "text such as \"app=gallery,!state\"", std::string(request.body)}}));
        return;
    }
    const auto onListed = [this, matcher, change, respond](const ListOutcome &outcome) {
        if (outcome.result != PlatformResult::Ok) {
            respond(internal::failureReply(outcome.result, 0));
            return;
        }
        std::vector<std::string> keys;
        for (const StoredObject &object : outcome.objects) {
            if (matcher->matches(object.value))
                keys.push_back(object.key);
        }
        if (keys.empty()) {
            respond(errorReply(404, "no upstream matches the selector"));
            return;
        }
        this->changer.changeAll(std::move(keys), change, [respond](const auto &reports) {
            respond(internal::labelsReply(reports));
        });
    };
    this->store.list("upstream/", onListed);
}

void AdminApi::changeDomain(const std::string &name, const LabelChange &change,
                            const HttpResponder &respond)
{
    this->changer.change(
        internal::keyOf(ObjectKind::Domain, name), change,
        [respond](const LabelReport &report) { respond(internal::labelsReply({report})); });
}

void AdminApi::configVersion(const HttpResponder &respond)
{
    struct Progress
    {
        std::size_t pending = internal::operatorKinds.size();
        PlatformResult result = PlatformResult::Ok;
        std::uint64_t version = 0;
    };
    const auto progress = std::make_shared<Progress>();
    const auto onListed = [progress, respond](const ListOutcome &outcome) {
        if (outcome.result != PlatformResult::Ok)
            progress->result = outcome.result;
        for (const StoredObject &object : outcome.objects)
            progress->version = std::max(progress->version, object.version.number);
        if (--progress->pending > 0)
            return;
        respond(progress->result == PlatformResult::Ok
                    ? internal::adminReply(200, {{"version", progress->version}})
                    : internal::failureReply(progress->result, 0));
    };
    for (const ObjectKind kind : internal::operatorKinds)
        this->store.list(std::string(toString(kind)) + '/', onListed);
}

} // namespace bulrushgap
