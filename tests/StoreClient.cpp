#include "platform/StoreClient.h"

#include "Loopback.h"
#include "platform/ObjectCodec.h"
#include "service/HttpServer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <list>
#include <memory>
#include <string>
#include <vector>

using namespace bulrushgap;
using balance::ViewKind;
using balance::ViewList;

namespace {

namespace asio = boost::asio;

std::string answerOf(const std::string &name)
{
    const std::string body
        = R"({"items":[{"meta":{"name":")" + name
          + R"(","revision":7},"spec":{},"status":null}],"has_more":false,"as_of":7})";
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** \brief A server that answers each request twice: at once, and again before the next answer. */
class RepeatingServer
{
public:
    explicit RepeatingServer(asio::io_context &context)
        : acceptor(context, {asio::ip::address_v4::loopback(), 0})
    {
        this->accept();
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {0x7f000001, this->acceptor.local_endpoint().port()};
    }

private:
    struct Connection
    {
        explicit Connection(asio::ip::tcp::socket socket)
            : socket(std::move(socket))
        {}

        asio::ip::tcp::socket socket;
        std::array<char, 4'096> input{};
        std::string lastAnswer;
    };

    void accept()
    {
        this->acceptor.async_accept(
            [this](boost::system::error_code error, asio::ip::tcp::socket socket) {
                if (error)
                    return;
                this->connections.emplace_back(std::move(socket));
                this->read(this->connections.back());
                this->accept();
            });
    }

    void read(Connection &connection)
    {
        connection.socket.async_read_some(
            asio::buffer(connection.input),
            [this, &connection](boost::system::error_code error, std::size_t size) {
                if (error)
                    return;
                const std::string request(connection.input.data(), size);
                const std::size_t begin = request.rfind('/', request.find(" HTTP")) + 1;
                const std::string kind = request.substr(begin, request.find(" HTTP") - begin);
                const std::string answer = answerOf("of-" + kind);
                boost::system::error_code ignored;
                asio::write(connection.socket, asio::buffer(connection.lastAnswer + answer),
                            ignored);
                connection.lastAnswer = answer;
                this->read(connection);
            });
    }

    asio::ip::tcp::acceptor acceptor;
    std::list<Connection> connections;
};

} // namespace

// Guards against a second copy of an answer that arrives when its connection is in use again: the
// next call would get an answer of another kind.
TEST_CASE("a repeated answer is not taken for that of another kind", "[StoreClient]")
{
    asio::io_context context;
    RepeatingServer server(context);
    Counters counters;
    platform::StoreClient client(context, server.endpoint(), counters);
    const auto list = [&](ViewKind kind) {
        return await<ViewList>(context, [&](balance::ObjectSource::ListHandler handler) {
            client.list(kind, std::move(handler));
        });
    };
    const std::vector<ViewKind> kinds{ViewKind::Evacuations, ViewKind::Upstreams, ViewKind::Members,
                                      ViewKind::Evacuations};
    for (const ViewKind kind : kinds) {
        const ViewList result = list(kind);
        REQUIRE(result.objects.size() == 1);
        CHECK(result.objects[0].key == "of-" + std::string(platform::kindName(kind)));
    }
}

namespace {

const std::string goodUpstream = R"({"service":"s1","addr":"10.1.0.9:8080","zone":"yala",)"
                                 R"("version":"v1","slots":2,"state":"ready","slow_start_ms":0,)"
                                 R"("seq":4})";
const std::string goodMember = R"({"domain":"yala","peer":"10.0.0.1:7720","capacity":200})";

/** \brief A store that answers each call with the same body, unless others follow. */
struct ScriptedStore
{
    explicit ScriptedStore(std::string body)
        : body(std::move(body))
    {
        this->server.route("GET", "/-/objects/*", [this](const HttpRequestView &request) {
            this->after.push_back(request.parameter("after"));
            const std::string reply = this->body;
            this->body = std::exchange(this->nextBody, std::nullopt).value_or(reply);
            return HttpReply{200, reply, "application/json", {}, this->headers};
        });
        this->server.route("DELETE", "/-/objects/*", [this](const HttpRequestView &request) {
            this->removed.push_back(request.path);
            return HttpReply{200, "{}", "application/json", {}};
        });
    }

    PlatformResult removeMember(const std::string &name, StoreRevision revision)
    {
        return await<PlatformResult>(this->context, [&](auto handler) {
            this->client.removeMember(name, revision, std::move(handler));
        });
    }

    ViewList list(ViewKind kind)
    {
        return await<ViewList>(this->context, [&](balance::ObjectSource::ListHandler handler) {
            this->client.list(kind, std::move(handler));
        });
    }

    balance::ViewEvents watch(ViewKind kind, StoreRevision since = 1)
    {
        return await<balance::ViewEvents>(this->context, [&](auto handler) {
            this->client.watchFor(kind, since, std::chrono::milliseconds(10), std::move(handler));
        });
    }

    std::string body;
    std::optional<std::string> nextBody;
    std::vector<std::optional<std::string>> after; //!< Names in the requests for objects.
    std::vector<std::string> removed;              //!< Paths in the requests to remove one.
    std::vector<HttpHeader> headers;
    asio::io_context context;
    HttpServer server{context, Endpoint{0x7f000001, 0}};
    Endpoint endpoint{startServer(server)};
    Counters counters;
    platform::StoreClient client{context, endpoint, counters};
};

/** \returns a value of a spec that the kind accepts. */
std::string goodSpecOf(ViewKind kind)
{
    switch (kind) {
    case ViewKind::Upstreams:
        return goodUpstream;
    case ViewKind::Members:
        return goodMember;
    case ViewKind::Configurations:
        return R"({"version":7,"routes":[],"services":[]})";
    case ViewKind::Evacuations:
        break;
    }
    return R"({"by":"operator"})";
}

/** \returns three objects, of which that at \a position has \a value as its member "x". */
std::vector<std::string> objectsWith(ViewKind kind, std::size_t position, const std::string &value)
{
    const std::string good = goodSpecOf(kind);
    std::vector<std::string> objects;
    for (std::size_t i = 0; i < 3; ++i) {
        const bool isMain = kind == ViewKind::Configurations && i == position;
        const std::string name = isMain ? "main" : "i-" + std::to_string(i + 1);
        const std::string spec
            = i == position ? good.substr(0, good.size() - 1) + R"(,"x":)" + value + "}" : good;
        objects.push_back(R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(i + 3)
                          + R"(},"spec":)" + spec + R"(,"status":null})");
    }
    return objects;
}

/** \brief Checks the objects of an answer, of which that at \a position is malformed. */
template <typename Objects>
void checkObjects(ViewKind kind, std::size_t position, const Objects &objects)
{
    // Configurations under other names than that of the operators are not part of the view.
    const bool isSingle = kind == ViewKind::Configurations;
    REQUIRE(objects.size() == (isSingle ? 1 : 3));
    for (std::size_t i = 0; i < objects.size(); ++i) {
        const std::optional<balance::ViewObject> value = objects[i].value;
        REQUIRE(value);
        const bool isFaulty = isSingle || i == position;
        CHECK(std::holds_alternative<balance::MalformedObject>(*value) == isFaulty);
        CHECK(objects[i].version == (isSingle ? position : i) + 3);
        CHECK(objects[i].key == (isSingle ? "main" : "i-" + std::to_string(i + 1)));
    }
}

const auto anyMalformedValue = [] {
    return GENERATE(values<std::string>({
        R"("\udcff\udcfe\udc80")",
        std::string(40, '[') + std::string(40, ']'),
        "\"\xff\xfe\"",
        "\"\x01\"",
        R"("\q")",
        "1e99999999999",
        "nonsense",
    }));
};

const auto anyKind = [] {
    return GENERATE(ViewKind::Upstreams, ViewKind::Configurations, ViewKind::Evacuations,
                    ViewKind::Members);
};

} // namespace

// Guards against an entry of another writer that hides all other entries of its kind.
TEST_CASE("an entry that can't be parsed costs only that entry", "[StoreClient]")
{
    const ViewKind kind = anyKind();
    const auto position = GENERATE(std::size_t{0}, std::size_t{1}, std::size_t{2});
    const auto objects = objectsWith(kind, position, anyMalformedValue());
    CAPTURE(balance::toString(kind), position, objects[position]);
    std::string items;
    std::string events;
    for (const std::string &object : objects) {
        const std::string comma = items.empty() ? "" : ",";
        items += comma + object;
        events += comma + R"({"removed":false,"object":)" + object + "}";
    }
    ScriptedStore lists(R"({"items":[)" + items + R"(],"has_more":false,"as_of":9})");
    const ViewList list = lists.list(kind);
    CHECK(list.result == PlatformResult::Ok);
    CHECK(list.revision == 9);
    checkObjects(kind, position, list.objects);

    ScriptedStore watches(R"({"events":[)" + events + R"(],"as_of":9})");
    const balance::ViewEvents changes = watches.watch(kind);
    CHECK(changes.result == PlatformResult::Ok);
    CHECK(changes.revision == 9);
    checkObjects(kind, position, changes.events);
}

// Guards against an answer that is cut off and passes for one with fewer entries.
TEST_CASE("an answer that is truncated or not JSON is unavailable", "[StoreClient]")
{
    const auto body = GENERATE(values<std::string>({
        "",
        "no JSON",
        R"({"items":[{"meta":{"name":"i-1","revision":3},"spec":{"x":"\udcff"}}],"as_of":9)",
        R"({"items":[{"meta":{"name":"i-1","revision":3},"spec":{"x":"\udcff"}})",
        R"({"events":[{"object":{"meta":{"name":"i-1","revision":3},"spec":{"x":"\udcff"}}}])",
    }));
    ScriptedStore store(body);
    CHECK(store.list(ViewKind::Upstreams).result == PlatformResult::Unavailable);
    CHECK(store.watch(ViewKind::Upstreams).result == PlatformResult::Unavailable);
}

namespace {

/** \brief A store that never answers, and counts the calls. */
struct SilentStore
{
    explicit SilentStore(asio::io_context &context)
        : server(context, Endpoint{0x7f000001, 0})
    {
        const auto hold = [this](const HttpRequestView &, const HttpResponder &respond) {
            this->held.push_back(respond);
        };
        this->server.routeAsync("GET", "/-/objects/*", hold);
        this->server.routeAsync("POST", "/-/objects/*", hold);
    }

    std::vector<HttpResponder> held;
    HttpServer server;
    Endpoint endpoint{startServer(server)};
};

/** \brief A client whose calls are pending at a silent store, and another store. */
struct AddressChange
{
    explicit AddressChange(std::chrono::milliseconds timeout = std::chrono::seconds(60))
        : client(std::make_unique<platform::StoreClient>(
            this->context, this->before.endpoint, this->counters,
            platform::StoreTimeouts{timeout, timeout, timeout}))
    {}

    balance::ObjectSource::ListHandler onList()
    {
        return [this](const ViewList &list) {
            this->results.push_back(list.result);
        };
    }

    void startCalls(ViewKind kind)
    {
        this->client->list(kind, this->onList());
        this->client->watchFor(
            kind, 1, std::chrono::seconds(60),
            [this](const balance::ViewEvents &events) { this->results.push_back(events.result); });
        this->client->createMember(
            {}, [this](PlatformResult result) { this->results.push_back(result); });
    }

    asio::io_context context;
    Counters counters;
    SilentStore before{this->context};
    SilentStore after{this->context};
    std::vector<PlatformResult> results;
    std::unique_ptr<platform::StoreClient> client;
};

} // namespace

// Guards against a watch that waits for ever because its call was dropped.
TEST_CASE("pending calls fail when the address changes", "[StoreClient]")
{
    const ViewKind kind = anyKind();
    const bool sent = GENERATE(true, false);
    AddressChange change;
    change.startCalls(kind);
    if (sent)
        REQUIRE(runUntil(change.context, [&] { return change.before.held.size() == 3; }));
    change.client->setAddress(change.after.endpoint);
    CHECK(change.results.empty()); // Handlers are called asynchronously.
    REQUIRE(runUntil(change.context, [&] { return change.results.size() == 3; }));
    std::ranges::sort(change.results);
    const auto write = sent ? PlatformResult::LostAnswer : PlatformResult::Unavailable;
    CHECK(change.results
          == std::vector{PlatformResult::Unavailable, PlatformResult::Unavailable, write});

    const std::size_t heldBefore = change.before.held.size();
    change.startCalls(kind);
    REQUIRE(runUntil(change.context, [&] { return change.after.held.size() == 3; }));
    CHECK(change.before.held.size() == heldBefore);
    CHECK(change.results.size() == 3);
}

// Guards against calls left in the queue behind those that are being answered.
TEST_CASE("queued calls fail when the address changes", "[StoreClient]")
{
    constexpr std::size_t calls = 20;
    AddressChange change;
    for (std::size_t i = 0; i < calls; ++i)
        change.client->list(ViewKind::Upstreams, change.onList());
    REQUIRE(runUntil(change.context, [&] { return !change.before.held.empty(); }));
    change.client->setAddress(change.after.endpoint);
    REQUIRE(runUntil(change.context, [&] { return change.results.size() == calls; }));
    CHECK(std::ranges::count(change.results, PlatformResult::Unavailable) == calls);
}

// Guards against a handler that sends the next call to the address before, or whose client is used
// after the handler has destroyed it.
TEST_CASE("a handler may use or destroy the client when the address changes", "[StoreClient]")
{
    const bool destroy = GENERATE(false, true);
    AddressChange change;
    int failed = 0;
    for (int i = 0; i < 2; ++i) {
        change.client->list(ViewKind::Upstreams, [&](const ViewList &) {
            ++failed;
            if (destroy)
                change.client.reset();
            else
                change.client->list(ViewKind::Upstreams, change.onList());
        });
    }
    REQUIRE(runUntil(change.context, [&] { return change.before.held.size() == 2; }));
    change.client->setAddress(change.after.endpoint);
    const std::size_t expected = destroy ? 0 : 2;
    REQUIRE(runUntil(change.context, [&] {
        return failed == (destroy ? 1 : 2) && change.after.held.size() == expected;
    }));
    change.context.restart();
    change.context.run_for(std::chrono::milliseconds(20));
    CHECK(failed == (destroy ? 1 : 2));
    CHECK(change.before.held.size() == 2);
}

// Guards against a revision of one era that is taken for that of another: changes would be missed,
// or those of before the return of the store applied again.
TEST_CASE("revisions of another era are not comparable", "[StoreClient]")
{
    /** Eras that the store has told and tells, and what comes of a watch from revision 5. */
    struct EraCase
    {
        std::string first;
        std::string next; //!< With revision 9.
        PlatformResult list;
        PlatformResult watch;
    };
    const auto each = GENERATE(values<EraCase>({
        {"", "", PlatformResult::Ok, PlatformResult::Ok},
        {"1", "1", PlatformResult::Ok, PlatformResult::Ok},
        {"", "1", PlatformResult::Ok, PlatformResult::Gone},
        {"9", "10", PlatformResult::Ok, PlatformResult::Gone},
        {"2", "1", PlatformResult::Unavailable, PlatformResult::Unavailable},
        {"2", "", PlatformResult::Unavailable, PlatformResult::Unavailable},
    }));
    INFO(each.first << " then " << each.next);
    ScriptedStore store(R"({"items":[],"has_more":false,"as_of":5})");
    store.headers = {{platform::storeEraHeader, each.first}};
    const ViewList first = store.list(ViewKind::Members);
    REQUIRE(first.result == PlatformResult::Ok);
    CHECK(first.revision.number == 5);
    store.headers = {{platform::storeEraHeader, each.next}};
    store.body = R"({"items":[],"events":[],"has_more":false,"as_of":9})";
    CHECK(store.watch(ViewKind::Evacuations, first.revision).result == each.watch);
    const ViewList second = store.list(ViewKind::Members);
    CHECK(second.result == each.list);
    if (each.list == PlatformResult::Ok)
        CHECK(second.revision >= first.revision);
}

// Guards against the removal of an entry that was written after the store returned from a copy.
TEST_CASE("an entry is not removed by its revision of an earlier era", "[StoreClient]")
{
    ScriptedStore store(R"({"items":[],"has_more":false,"as_of":5})");
    store.headers = {{platform::storeEraHeader, "2"}};
    REQUIRE(store.list(ViewKind::Members).result == PlatformResult::Ok);
    CHECK(store.removeMember("a-1", {1, 4}) == PlatformResult::Conflict);
    CHECK(store.counters.value("store_write") == 0);
}

// Guards against an answer with many versions of a large configuration, which a weak link takes for
// seconds, and which never fits after a storm of them.
TEST_CASE("a watch whose answer is longer than a list ends as Gone", "[StoreClient]")
{
    const auto [bytes, result] = GENERATE(table<std::size_t, PlatformResult>({
        {1'040'000, PlatformResult::Ok},
        {1'310'000, PlatformResult::Gone},
        {20'000'000, PlatformResult::Gone},
    }));
    ScriptedStore store(R"({"events":[],"as_of":9,"x":")" + std::string(bytes, 'x') + R"("})");
    CHECK(store.watch(ViewKind::Configurations, 5).result == result);
    CHECK(store.counters.value("store_answer_too_large")
          == (result == PlatformResult::Gone ? 1 : 0));
    CHECK(store.counters.value("store_answer_broken_off") == 0);
}

// Guards against a name that garbles the request for the next page, so that the list never ends.
TEST_CASE("a list continues after any name", "[StoreClient]")
{
    const auto name = GENERATE(as<std::string>(), "a b", "a&after=z", "a#?%41", "a\\r\\nX: 1",
                               "a\\u0000", "\xc3\xa4", "../config");
    const std::string odd = R"({"meta":{"name":")" + name + R"(","revision":4},"spec":7})";
    const std::string good = R"({"meta":{"name":"i-1","revision":5},"spec":)" + goodUpstream + "}";
    CAPTURE(odd);
    ScriptedStore store(R"({"items":[)" + odd + R"(],"has_more":true,"as_of":9})");
    store.nextBody = R"({"items":[)" + good + R"(],"has_more":false,"as_of":9})";
    const ViewList list = store.list(ViewKind::Upstreams);
    CHECK(list.result == PlatformResult::Ok);
    REQUIRE(list.objects.size() == 2);
    CHECK(std::holds_alternative<balance::UpstreamEntry>(list.objects[1].value));
    REQUIRE(store.after.size() == 2);
    CHECK(store.after[1] == list.objects[0].key);
}

// Guards against a name that makes the removal of a lost instance that of another object.
TEST_CASE("a member's name stays one part of the path", "[StoreClient]")
{
    const auto name = GENERATE(as<std::string>(), "../config/main", "a?revision=1", "a b");
    ScriptedStore store("{}");
    CHECK(store.removeMember(name, {0, 5}) == PlatformResult::Ok);
    CHECK(store.removed == std::vector<std::string>{"/-/objects/instances/" + name});
}
