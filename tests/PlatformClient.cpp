#include "Loopback.h"
#include "service/AsioScheduler.h"
#include "service/HttpRoutes.h"
#include "store.h"
#include "store/ObjectWatch.h"

#include <boost/json.hpp>

using namespace bulrushgap;

namespace {

struct PlatformFixture
{
    explicit PlatformFixture(PlatformStandinSettings settings = standinSettings())
        : standin(context, std::move(settings))
        , endpoint(startServer(standin))
        , client(context, endpoint, counters)
    {}

    WriteOutcome put(std::string_view key, const boost::json::value &value, std::uint64_t version)
    {
        return await<WriteOutcome>(this->context, [&](auto handler) {
            this->client.put(key, value, version, std::move(handler));
        });
    }

    GetOutcome get(std::string_view key)
    {
        return await<GetOutcome>(this->context,
                                 [&](auto handler) { this->client.get(key, std::move(handler)); });
    }

    ListOutcome instances()
    {
        return await<ListOutcome>(
            this->context, [&](auto handler) { this->client.instances(std::move(handler)); });
    }

    boost::asio::io_context context;
    Counters counters;
    Random random{1};
    PlatformStandin standin;
    Endpoint endpoint;
    PlatformClient client;
};

} // namespace

// Guards against lost updates: a write with an old version must not change the object.
TEST_CASE("writes are conditional on the version", "[PlatformClient]")
{
    PlatformFixture platform;
    REQUIRE(platform.get("service/a").result == PlatformResult::NotFound);
    const auto created = platform.put("service/a", {{"n", 1}}, 0);
    REQUIRE(created.result == PlatformResult::Ok);
    const auto again = platform.put("service/a", {{"n", 2}}, 0);
    REQUIRE(again.result == PlatformResult::Conflict);
    REQUIRE(again.version == created.version);
    REQUIRE(platform.put("service/a", {{"n", 3}}, created.version).version == created.version + 1);
    REQUIRE(platform.get("service/a").object.value == boost::json::value{{"n", 3}});
    const auto removed = await<WriteOutcome>(platform.context, [&](auto handler) {
        platform.client.remove("service/a", created.version + 1, handler);
    });
    REQUIRE(removed.result == PlatformResult::Ok);
    REQUIRE(platform.get("service/a").result == PlatformResult::NotFound);
    REQUIRE(platform.counters.value("platform_write") == 4);
    REQUIRE(platform.counters.value("platform_read") == 3);
}

// Guards against rejected calls that look like failures of the platform.
TEST_CASE("limits of the platform have their own results", "[PlatformClient]")
{
    PlatformStandinSettings settings = standinSettings();
    settings.writesPerSecond = 1;
    PlatformFixture limited(settings);
    int tooMany = 0;
    for (int i = 0; i < 20; ++i)
        tooMany += limited.put("n" + std::to_string(i), 1, 0).result == PlatformResult::TooMany;
    REQUIRE(tooMany > 0);

    PlatformFixture platform;
    const auto size = GENERATE(1'048'580, 1'200'000);
    const boost::json::value large = boost::json::string(static_cast<std::size_t>(size), 'x');
    REQUIRE(platform.put("a", large, 0).result == PlatformResult::TooLarge);
    REQUIRE(platform.get("a").result == PlatformResult::NotFound);
}

// Guards against a write that is reported as not applied although it took effect.
TEST_CASE("a lost response is distinguished from an unreachable platform", "[PlatformClient]")
{
    PlatformFixture platform;
    platform.standin.setFaults(PlatformFaults{false, {}, 1});
    REQUIRE(platform.put("a", 1, 0).result == PlatformResult::LostAnswer);
    REQUIRE(platform.get("a").object.version == 1);
    platform.standin.setFaults(PlatformFaults{true, {}, 0});
    REQUIRE(platform.get("a").result == PlatformResult::Unavailable);
    REQUIRE(platform.put("a", 2, 1).result == PlatformResult::LostAnswer);
    platform.standin.setFaults({});
    REQUIRE(platform.get("a").object.version == 1);

    HttpServer unused(platform.context, Endpoint{0x7f000001, 0});
    const Endpoint closed = startServer(unused);
    unused.stop();
    PlatformClient unreachable(platform.context, closed, platform.counters);
    const auto refused = await<WriteOutcome>(
        platform.context, [&](auto handler) { unreachable.put("a", 1, 0, std::move(handler)); });
    REQUIRE(refused.result == PlatformResult::Unavailable);
}

// Guards against events that are missed after an outage or after the history was truncated.
TEST_CASE("a watch resumes after an outage and lists again after 410", "[PlatformClient]")
{
    PlatformStandinSettings settings = standinSettings();
    settings.historyLimit = 2;
    settings.objects = {{"service/a", 1}, {"other/b", 1}};
    PlatformFixture platform(settings);
    std::vector<WatchUpdate> updates;
    std::vector<bool> reachable;
    const Scheduler scheduler = asioScheduler(platform.context);
    ObjectWatch watch(
        scheduler, platform.client, platform.random, "service/",
        [&](const WatchUpdate &update) { updates.push_back(update); },
        [&](bool now) { reachable.push_back(now); });
    watch.start();
    REQUIRE(runUntil(platform.context, [&] { return updates.size() == 1; }));
    REQUIRE(updates[0].complete);
    REQUIRE(updates[0].events.size() == 1);

    platform.put("other/b", 2, 2);
    platform.put("service/a", 2, 1);
    REQUIRE(runUntil(platform.context, [&] { return updates.size() == 2; }));
    REQUIRE_FALSE(updates[1].complete);
    REQUIRE(updates[1].events.at(0).version == 4);

    platform.standin.setFaults(PlatformFaults{true, {}, 0});
    REQUIRE(runUntil(platform.context, [&] { return reachable.size() == 2; }));
    platform.standin.setFaults({});
    for (int i = 0; i < 3; ++i)
        platform.put("service/new" + std::to_string(i), i, 0);
    REQUIRE(runUntil(platform.context, [&] { return updates.back().revision == 7; }));
    REQUIRE(updates.back().complete);
    REQUIRE(updates.back().events.size() == 4);
    REQUIRE(reachable == std::vector<bool>{true, false, true});
}

// Guards against code that treats the list of instances as current.
TEST_CASE("the list of instances lags behind the objects", "[PlatformClient]")
{
    PlatformStandinSettings settings = standinSettings();
    settings.instanceLag = std::chrono::milliseconds(300);
    settings.objects = {{"instance/a", {{"state", "live"}}}};
    PlatformFixture platform(settings);
    REQUIRE(platform.put("instance/a", {{"state", "leaving"}}, 1).result == PlatformResult::Ok);
    const auto isState = [&](std::string_view state) {
        const auto list = platform.instances();
        return list.objects.size() == 1
               && list.objects[0].value == boost::json::value{{"state", state}};
    };
    REQUIRE(isState("live"));
    REQUIRE(runUntil(platform.context, [&] { return isState("leaving"); }));
}

// Guards against idle connections that stop responding: the next read must still succeed.
TEST_CASE("reads are repeated on a new connection", "[PlatformClient]")
{
    PlatformFixture platform;
    REQUIRE(platform.get("a").result == PlatformResult::NotFound);
    int calls = 0;
    HttpServer server(platform.context, Endpoint{0x7f000001, 0});
    server.routeAsync("GET", "/objects/*", [&](const auto &, const HttpResponder &respond) {
        if (++calls != 2)
            respond(errorReply(404, "none"));
    });
    PlatformClient client(platform.context, startServer(server), platform.counters,
                          PlatformTimeouts{std::chrono::milliseconds(400), {}});
    for (int i = 0; i < 2; ++i) {
        const auto outcome = await<GetOutcome>(
            platform.context, [&](auto handler) { client.get("a", std::move(handler)); });
        REQUIRE(outcome.result == PlatformResult::NotFound);
    }
    REQUIRE(calls == 3);
}

// Guards against an object of another writer that hides all others, or that passes for deleted.
TEST_CASE("an object that can't be parsed costs only that object", "[PlatformClient]")
{
    const std::string value = GENERATE(as<std::string>(), R"("\udcff\udcfe\udc80")",
                                       std::string(40, '[') + std::string(40, ']'));
    const std::string objects
        = R"([{"key":"a","version":3,"value":1},{"key":"b","version":4,"value":)" + value
          + R"(},{"key":"c","version":5,"value":3}])";
    boost::asio::io_context context;
    Counters counters;
    HttpServer server(context, Endpoint{0x7f000001, 0});
    server.route("GET", "/objects", [&](const HttpRequestView &) {
        return HttpReply{
            200, R"({"revision":5,"objects":)" + objects + "}", "application/json", {}};
    });
    server.route("GET", "/watch", [&](const HttpRequestView &) {
        return HttpReply{200, R"({"revision":5,"events":)" + objects + "}", "application/json", {}};
    });
    PlatformClient client(context, startServer(server), counters);
    const auto list
        = await<ListOutcome>(context, [&](auto handler) { client.list("", std::move(handler)); });
    CHECK(list.result == PlatformResult::Ok);
    REQUIRE(list.objects.size() == 3);
    CHECK(list.objects[1].key == "b");
    CHECK(list.objects[1].version == 4);
    CHECK(list.objects[2].value == 3);
    const auto watch = await<WatchOutcome>(
        context, [&](auto handler) { client.watch("", 1, std::move(handler)); });
    CHECK(watch.result == PlatformResult::Ok);
    REQUIRE(watch.events.size() == 3);
    CHECK(watch.events[1].version == 4);
    CHECK(watch.events[1].value.has_value());
    CHECK(watch.events[2].value == boost::json::value(3));
}

namespace {

/** \brief A store whose watches are answered by the test. */
class ScriptedStore : public WatchableStore
{
public:
    void list(std::string_view /*key*/, ListHandler handler) override
    {
        handler({PlatformResult::Ok, 5, {}, {}});
    }
    void watch(std::string_view /*key*/, StoreRevision since, WatchHandler handler) override
    {
        this->since = since;
        this->pending = std::move(handler);
    }
    void answer(std::uint64_t revision)
    {
        std::exchange(this->pending, {})(
            {PlatformResult::Ok, revision, {{"a", revision, boost::json::value(1)}}, {}});
    }

    StoreRevision since;
    WatchHandler pending;
};

} // namespace

// Guards against a second copy of an earlier answer, whose changes would be applied again.
TEST_CASE("a watch ignores an answer that is not newer than its revision", "[PlatformClient]")
{
    boost::asio::io_context context;
    const Scheduler scheduler = asioScheduler(context);
    ScriptedStore store;
    Random random{1};
    std::vector<std::uint64_t> applied;
    ObjectWatch watch(
        scheduler, store, random, "a",
        [&](const WatchUpdate &update) {
            for (const WatchEvent &event : update.events)
                applied.push_back(event.version.number);
        },
        {}, WatchRetry{std::chrono::milliseconds(1), std::chrono::milliseconds(1), {}});
    watch.start();
    store.answer(8);
    store.answer(8);
    CHECK(store.since == 8);
    store.answer(6);
    REQUIRE(runUntil(context, [&] { return static_cast<bool>(store.pending); }));
    CHECK(store.since == 8);
    store.answer(9);
    CHECK(applied == std::vector<std::uint64_t>{8, 9});
}
