#include "view/SourcedStore.h"

#include "Loopback.h"
#include "platform/ObjectCodec.h"
#include "platform/StoreClient.h"
#include "role/MirrorServer.h"
#include "service/AsioScheduler.h"
#include "view/ObjectMirror.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;

namespace {

const Endpoint anyPort{0x7f000001, 0};

/** \brief A mirror on a loopback port, in the place of the store or of another instance. */
struct MirrorProcess
{
    explicit MirrorProcess(boost::asio::io_context &context)
        : scheduler(asioScheduler(context))
        , server(context, anyPort)
        , mirror(this->scheduler, [this] { return this->direct; })
        , adapter(this->server, this->mirror)
        , endpoint(startServer(this->server))
    {}

    void add(std::string_view kind, const std::string &name, std::uint64_t revision,
             bool complete = false)
    {
        WatchUpdate update{complete, revision, {}};
        update.events.push_back({name, revision, boost::json::parse(R"({"domain":"a"})")});
        this->mirror.apply(kind, update);
    }

    bool direct = true;
    Scheduler scheduler;
    HttpServer server;
    ObjectMirror mirror;
    MirrorServer adapter;
    Endpoint endpoint;
};

/** \brief An instance that prefers another instance and falls back to the store. */
struct Follower
{
    Follower(boost::asio::io_context &context, Endpoint peer, Endpoint storeEndpoint)
        : scheduler(asioScheduler(context))
        , store(context, storeEndpoint, this->counters)
        , sources("a-2", "a")
        , sourced(this->scheduler, this->store, this->sources, this->counters, this->log,
                  {[&](Endpoint address) {
                       return std::make_unique<platform::StoreClient>(
                           context, address, this->counters, "peer", platform::peerTimeouts());
                   },
                   [] {
                   }})
    {
        const std::vector<Member> members{{"a-1", "a", peer, 9}, {"a-2", "a", Endpoint{1, 1}, 1}};
        this->sources.update(members, TimePoint{});
        this->sources.started();
    }

    Scheduler scheduler;
    Counters counters;
    Log log{LogOptions{20, {}, [](LogLevel, const std::string &) {
                       }}};
    platform::StoreClient store;
    ViewSources sources;
    SourcedStore sourced;
};

WatchOutcome watch(boost::asio::io_context &context, SourcedStore &store, std::string_view kind,
                   std::uint64_t since)
{
    return await<WatchOutcome>(context, [&](WatchableStore::WatchHandler handler) {
        store.watch(kind, since, std::move(handler));
    });
}

} // namespace

// Guards against instances that understand the store but not each other.
TEST_CASE("another instance answers lists and watches as the store does", "[SourcedStore]")
{
    boost::asio::io_context context;
    MirrorProcess peer(context);
    MirrorProcess store(context);
    Follower follower(context, peer.endpoint, store.endpoint);
    peer.add("servers", "i-1", 5, true);
    const auto list = await<ListOutcome>(context, [&](WatchableStore::ListHandler handler) {
        follower.sourced.list("servers", std::move(handler));
    });
    REQUIRE(list.result == PlatformResult::Ok);
    REQUIRE(list.objects.size() == 1);
    CHECK(list.objects[0].key == "i-1");
    CHECK(list.objects[0].version == 5);
    CHECK(list.revision == 5);
    CHECK_FALSE(follower.sourced.isDirect());
    peer.add("servers", "i-2", 8);
    const auto changes = watch(context, follower.sourced, "servers", 5);
    REQUIRE(changes.events.size() == 1);
    CHECK(changes.events[0].key == "i-2");
    CHECK(changes.revision == 8);
}

// Guards against missed changes: whoever is older than what is known must list again.
TEST_CASE("a watch from before the known history is told so", "[SourcedStore]")
{
    boost::asio::io_context context;
    MirrorProcess peer(context);
    Follower follower(context, peer.endpoint, peer.endpoint);
    peer.add("servers", "i-1", 5, true);
    CHECK(watch(context, follower.sourced, "servers", 4).result == PlatformResult::Gone);
    CHECK(watch(context, follower.sourced, "servers", 5).result == PlatformResult::Ok);
}

// Guards against a change that waits for the end of a watch.
TEST_CASE("a waiting watch is answered by a change", "[SourcedStore]")
{
    boost::asio::io_context context;
    MirrorProcess peer(context);
    Follower follower(context, peer.endpoint, peer.endpoint);
    peer.add("servers", "i-1", 5, true);
    static_cast<void>(watch(context, follower.sourced, "servers", 5));
    std::optional<WatchOutcome> outcome;
    follower.sourced.watch("servers", 5, [&](WatchOutcome received) { outcome = received; });
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(outcome.has_value());
    peer.add("servers", "i-2", 6);
    REQUIRE(runUntil(context, [&] { return outcome.has_value(); }));
    CHECK(outcome->events.size() == 1);
}

// Guards against watches that stay with a source that is gone, and against calls that nobody waits
// for any more but that hold the places of new ones.
TEST_CASE("all watches of a failed source fail together and the next source is used",
          "[SourcedStore]")
{
    boost::asio::io_context context;
    auto peer = std::make_unique<MirrorProcess>(context);
    MirrorProcess store(context);
    Follower follower(context, peer->endpoint, store.endpoint);
    const std::vector<std::string> kinds{"servers", "config", "evacuations", "instances"};
    for (const std::string &kind : kinds) {
        peer->add(kind, "x-1", 5, true);
        store.add(kind, "x-1", 5, true);
        static_cast<void>(watch(context, follower.sourced, kind, 5));
    }
    int failed = 0;
    for (int round = 0; round < 3; ++round) {
        for (const std::string &kind : kinds)
            follower.sourced.watch(kind, 5, [&](const WatchOutcome &outcome) {
                failed += outcome.result == PlatformResult::Ok ? 0 : 1;
            });
    }
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
    peer.reset();
    REQUIRE(runUntil(context, [&] { return failed == 12; }));
    CHECK(follower.sources.followsStore());
    for (const std::string &kind : kinds)
        CHECK(watch(context, follower.sourced, kind, 5).result == PlatformResult::Ok);
    CHECK(follower.sourced.isDirect());
}

// Guards against two instances that feed each other old news.
TEST_CASE("an instance that does not follow the store answers nobody", "[SourcedStore]")
{
    boost::asio::io_context context;
    MirrorProcess peer(context);
    MirrorProcess store(context);
    Follower follower(context, peer.endpoint, store.endpoint);
    peer.add("servers", "i-1", 5, true);
    peer.direct = false;
    CHECK(watch(context, follower.sourced, "servers", 5).result == PlatformResult::Busy);
}
