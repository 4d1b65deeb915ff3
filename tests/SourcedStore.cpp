#include "view/SourcedStore.h"

#include "Loopback.h"
#include "platform/StoreClient.h"
#include "role/PeerViewClient.h"
#include "role/PeerViewServer.h"
#include "role/ViewFrame.h"
#include "service/AsioScheduler.h"
#include "service/FrameReader.h"
#include "service/HttpServer.h"
#include "view/ObjectMirror.h"
#include "view/ReplyCompression.h"
#include "view/ViewCodec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;

namespace {

const Endpoint anyPort{0x7f000001, 0};
const std::vector<ViewKind> allKinds{ViewKind::Upstreams, ViewKind::Configurations,
                                     ViewKind::Evacuations, ViewKind::Members};

/** \returns an object that the kind can hold. */
ViewObject sampleOf(ViewKind kind, const std::string &name)
{
    switch (kind) {
    case ViewKind::Upstreams: {
        UpstreamEntry entry;
        entry.name = name;
        return entry;
    }
    case ViewKind::Configurations:
        return std::make_shared<const Configuration>();
    case ViewKind::Members:
        return Member{name, "a", {1, 1}, 1};
    case ViewKind::Evacuations:
        break;
    }
    return Evacuation{};
}

/** \brief Another instance on a loopback port. */
struct PeerProcess
{
    explicit PeerProcess(boost::asio::io_context &context)
        : scheduler(asioScheduler(context))
        , mirror(this->scheduler, {[this](const ViewRequest &request) {
                                       return request.direct ? this->direct : this->connected;
                                   },
                                   [this](ViewKind kind) { return this->objects[kind]; },
                                   [this] {
                                       return this->freshness;
                                   }})
        , server(context, anyPort, this->mirror, this->counters)
        , endpoint(startServer(this->server))
    {}

    void add(ViewKind kind, const std::string &name, std::uint64_t revision, bool complete = false)
    {
        const ViewObject object = sampleOf(kind, name);
        this->objects[kind].push_back({name, revision, object});
        this->mirror.apply(kind, {complete, revision, {{name, revision, object}}});
    }

    bool direct = true;
    bool connected = true; //!< Whether it has a source itself.
    ReplyFreshness freshness;
    std::map<ViewKind, std::vector<ViewItem>> objects;
    Counters counters;
    Scheduler scheduler;
    ObjectMirror mirror;
    PeerViewServer server;
    Endpoint endpoint;
};

/** \brief An instance that prefers another instance and falls back to the store. */
struct Follower
{
    /** \param store endpoint of an instance that acts as the store. */
    Follower(boost::asio::io_context &context, Endpoint peer, Endpoint store, bool started = true)
        : scheduler(asioScheduler(context))
        , store(context, store, this->counters)
        , sources(Member{"a-2", "a", Endpoint{1, 1}, 1})
        , sourced(this->scheduler, this->store, this->sources, this->counters, this->log,
                  {[this, &context](const ViewSource &source) {
                       return std::make_unique<PeerViewClient>(
                           context, *source.peer, this->counters, PeerReadOptions::of(source));
                   },
                   [] {},
                   [this](Duration grace) {
                       this->registryGrace = grace;
                   }})
    {
        const std::vector<Member> members{{"a-1", "a", peer, 9}, {"a-2", "a", Endpoint{1, 1}, 1}};
        this->sources.update(members, TimePoint{});
        if (started)
            this->sources.onViewComplete();
    }

    Scheduler scheduler;
    Counters counters;
    Log log{LogOptions{20, {}, [](LogLevel, const std::string &) {
                       }}};
    PeerViewClient store;
    Duration registryGrace{};
    ViewSources sources;
    SourcedStore sourced;
};

ViewEvents watch(boost::asio::io_context &context, SourcedStore &store, ViewKind kind,
                 std::uint64_t since)
{
    return await<ViewEvents>(context, [&](ViewStore::WatchHandler handler) {
        store.watch(kind, since, std::move(handler));
    });
}

} // namespace

// Guards against differences between reads from the store and from another instance.
TEST_CASE("another instance serves lists and watches like the store", "[SourcedStore]")
{
    boost::asio::io_context context;
    PeerProcess peer(context);
    PeerProcess store(context);
    Follower follower(context, peer.endpoint, store.endpoint);
    peer.add(ViewKind::Upstreams, "i-1", 5, true);
    const auto list = await<ViewList>(context, [&](ViewStore::ListHandler handler) {
        follower.sourced.list(ViewKind::Upstreams, std::move(handler));
    });
    REQUIRE(list.result == PlatformResult::Ok);
    REQUIRE(list.objects.size() == 1);
    CHECK(list.objects[0].key == "i-1");
    CHECK(list.objects[0].version == 5);
    CHECK(list.revision == 5);
    CHECK_FALSE(follower.sourced.isDirect());
    peer.add(ViewKind::Upstreams, "i-2", 8);
    const auto changes = watch(context, follower.sourced, ViewKind::Upstreams, 5);
    REQUIRE(changes.events.size() == 1);
    CHECK(changes.events[0].key == "i-2");
    CHECK(changes.revision == 8);
}

// Guards against a reader of an earlier version of the program that gets a reply it can't read.
TEST_CASE("a reply is compressed only for readers that accept it", "[SourcedStore]")
{
    const bool accepts = GENERATE(false, true);
    boost::asio::io_context context;
    PeerProcess peer(context);
    for (std::uint64_t number = 1; number <= 200; ++number)
        peer.add(ViewKind::Upstreams, "i-" + std::to_string(number), number, number == 1);
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4::loopback(), peer.endpoint.port});
    const ViewRequest request{ViewKind::Upstreams, std::nullopt, {}, false, accepts};
    const Bytes frame = ViewFrame{1, {}, encodeRequest(request)}.toBytes();
    boost::asio::write(socket, boost::asio::buffer(frame));
    FrameReader reader(maxViewMessageBytes);
    std::optional<Bytes> reply;
    std::array<std::byte, 16'384> input{};
    socket.non_blocking(true);
    REQUIRE(runUntil(context, [&] {
        boost::system::error_code ignored;
        const std::size_t size = socket.read_some(boost::asio::buffer(input), ignored);
        reader.append(std::span<const std::byte>(input).first(size));
        reply = reader.next();
        return reply.has_value();
    }));
    const auto answer = ViewFrame::parse(*reply);
    REQUIRE(answer);
    CHECK(isCompressedReply(answer->message) == accepts);
    const auto list = decodeList(ViewKind::Upstreams, answer->message);
    REQUIRE(list);
    CHECK(list->objects.size() == 200);
}

// Guards against missed changes: a watch from a revision before the history has to list again.
TEST_CASE("a watch from before the history ends with Gone", "[SourcedStore]")
{
    boost::asio::io_context context;
    PeerProcess peer(context);
    Follower follower(context, peer.endpoint, peer.endpoint);
    peer.add(ViewKind::Upstreams, "i-1", 5, true);
    CHECK(watch(context, follower.sourced, ViewKind::Upstreams, 4).result == PlatformResult::Gone);
    CHECK(watch(context, follower.sourced, ViewKind::Upstreams, 5).result == PlatformResult::Ok);
}

// Guards against a change that is reported only when the watch times out.
TEST_CASE("a change completes a pending watch", "[SourcedStore]")
{
    boost::asio::io_context context;
    PeerProcess peer(context);
    Follower follower(context, peer.endpoint, peer.endpoint);
    peer.add(ViewKind::Upstreams, "i-1", 5, true);
    static_cast<void>(watch(context, follower.sourced, ViewKind::Upstreams, 5));
    std::optional<ViewEvents> outcome;
    follower.sourced.watch(ViewKind::Upstreams, 5,
                           [&](ViewEvents received) { outcome = std::move(received); });
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(outcome.has_value());
    peer.add(ViewKind::Upstreams, "i-2", 6);
    REQUIRE(runUntil(context, [&] { return outcome.has_value(); }));
    CHECK(outcome->events.size() == 1);
}

// Guards against watches that stay pending at a failed source, and against abandoned calls that
// occupy the capacity for new ones.
TEST_CASE("all watches of a failed source fail together and the next source is used",
          "[SourcedStore]")
{
    boost::asio::io_context context;
    auto peer = std::make_unique<PeerProcess>(context);
    PeerProcess store(context);
    Follower follower(context, peer->endpoint, store.endpoint);
    for (const ViewKind kind : allKinds) {
        peer->add(kind, "x-1", 5, true);
        store.add(kind, "x-1", 5, true);
        static_cast<void>(watch(context, follower.sourced, kind, 5));
    }
    int failed = 0;
    for (int round = 0; round < 3; ++round) {
        for (const ViewKind kind : allKinds)
            follower.sourced.watch(kind, 5, [&](const ViewEvents &outcome) {
                failed += outcome.result == PlatformResult::Ok ? 0 : 1;
            });
    }
    context.restart();
    context.run_for(std::chrono::milliseconds(50));
    peer.reset();
    REQUIRE(runUntil(context, [&] { return failed == 12; }));
    CHECK(follower.sources.followsStore());
    for (const ViewKind kind : allKinds)
        CHECK(watch(context, follower.sourced, kind, 5).result == PlatformResult::Ok);
    CHECK(follower.sourced.isDirect());
}

// Guards against instances of two domains that serve stale data to each other.
TEST_CASE("an instance that does not read from the store replies Busy where that is required",
          "[SourcedStore]")
{
    struct Case
    {
        bool required;
        bool direct;
        bool connected;
        PlatformResult result;
    };
    const auto each = GENERATE(values<Case>({
        {true, true, true, PlatformResult::Ok},
        {true, false, true, PlatformResult::Busy},
        {false, false, true, PlatformResult::Ok},
        {false, false, false, PlatformResult::Busy},
    }));
    boost::asio::io_context context;
    PeerProcess peer(context);
    peer.direct = each.direct;
    peer.connected = each.connected;
    peer.add(ViewKind::Upstreams, "i-1", 5, true);
    Counters counters;
    PeerViewClient client(context, peer.endpoint, counters,
                          PeerReadOptions::of({peer.endpoint, each.required, false}));
    const auto list = await<ViewList>(context, [&](ViewStore::ListHandler handler) {
        client.list(ViewKind::Upstreams, std::move(handler));
    });
    CHECK(list.result == each.result);
    const auto events = await<ViewEvents>(context, [&](ViewStore::WatchHandler handler) {
        client.watchFor(ViewKind::Upstreams, 5, std::chrono::milliseconds(50), std::move(handler));
    });
    CHECK(events.result == each.result);
}

// Guards against instances that start together and each read the store, since no other one has a
// view yet.
TEST_CASE("a list waits until the other instance has read its view", "[SourcedStore]")
{
    boost::asio::io_context context;
    PeerProcess peer(context);
    const bool arrives = GENERATE(true, false);
    Counters counters;
    PeerViewClient client(context, peer.endpoint, counters,
                          PeerReadOptions::of({peer.endpoint, false, true}));
    std::optional<ViewList> outcome;
    client.list(ViewKind::Upstreams, [&](ViewList list) { outcome = std::move(list); });
    context.run_for(std::chrono::milliseconds(50));
    CHECK_FALSE(outcome.has_value());
    if (arrives)
        peer.add(ViewKind::Upstreams, "i-1", 5, true);
    REQUIRE(runUntil(context, [&] { return outcome.has_value(); }));
    CHECK(outcome->result == (arrives ? PlatformResult::Ok : PlatformResult::Busy));
}

// Guards against a restarted instance that uses an upstream which left while its source was cut off
// from the store.
TEST_CASE("a starting instance prefers a current view to an old one", "[SourcedStore]")
{
    boost::asio::io_context context;
    PeerProcess peer(context);
    PeerProcess store(context);
    peer.freshness.age = std::chrono::seconds(30);
    peer.add(ViewKind::Upstreams, "i-departed", 5, true);
    store.add(ViewKind::Upstreams, "i-1", 9, true);
    Follower follower(context, peer.endpoint, store.endpoint, false);
    const auto list = await<ViewList>(context, [&](ViewStore::ListHandler handler) {
        follower.sourced.list(ViewKind::Upstreams, std::move(handler));
    });
    REQUIRE(list.objects.size() == 1);
    CHECK(list.objects[0].key == "i-1");
}

// Guards against readers that drop entries which expired in an outage that only their source has
// seen.
TEST_CASE("a reply passes on age and registry grace period", "[SourcedStore]")
{
    boost::asio::io_context context;
    PeerProcess peer(context);
    peer.freshness = {std::chrono::milliseconds(700), std::chrono::milliseconds(1'500)};
    Follower follower(context, peer.endpoint, peer.endpoint);
    peer.add(ViewKind::Upstreams, "i-1", 5, true);
    CHECK(watch(context, follower.sourced, ViewKind::Upstreams, 4).result == PlatformResult::Gone);
    CHECK(follower.registryGrace == std::chrono::milliseconds(1'500));
    CHECK(follower.sourced.age() >= std::chrono::milliseconds(700));
    CHECK(follower.sourced.age() < std::chrono::milliseconds(1'500));
}

// Guards against grace periods that add up from level to level, so that a domain whose first
// instances the store refuses learns of no change for many seconds.
TEST_CASE("a view that was old at the loss of its source is not served again", "[SourcedStore]")
{
    struct Case
    {
        std::chrono::milliseconds age;
        bool connected;
    };
    const auto each = GENERATE(values<Case>(
        {{std::chrono::milliseconds(0), true}, {std::chrono::milliseconds(1'900), false}}));
    boost::asio::io_context context;
    auto peer = std::make_unique<PeerProcess>(context);
    PeerProcess store(context);
    peer->freshness.age = each.age;
    Follower follower(context, peer->endpoint, store.endpoint);
    peer->add(ViewKind::Upstreams, "i-1", 5, true);
    static_cast<void>(watch(context, follower.sourced, ViewKind::Upstreams, 4));
    REQUIRE(follower.sourced.isConnected());
    peer.reset();
    static_cast<void>(watch(context, follower.sourced, ViewKind::Upstreams, 5));
    CHECK(follower.sourced.isConnected() == each.connected);
}

// Guards against a start that never completes because lists dropped with a failed one get no reply.
TEST_CASE("all pending lists of a failed source fail", "[SourcedStore]")
{
    boost::asio::io_context context;
    const bool started = GENERATE(false, true);
    Follower follower(context, Endpoint{0x7f000001, 1}, Endpoint{0x7f000001, 1}, started);
    int failed = 0;
    for (const ViewKind kind : allKinds) {
        follower.sourced.list(kind, [&](const ViewList &list) {
            failed += list.result == PlatformResult::Ok ? 0 : 1;
        });
    }
    REQUIRE(runUntil(context, [&] { return failed == 4; }));
}

// Guards against an endless wait on a half-open connection, for example after a middlebox has
// dropped its state.
TEST_CASE("a source that accepts connections but never replies is abandoned", "[SourcedStore]")
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor unresponsive(context,
                                                {boost::asio::ip::address_v4::loopback(), 0});
    PeerProcess store(context);
    store.add(ViewKind::Upstreams, "i-1", 5, true);
    const Endpoint unresponsiveAddress{0x7f000001, unresponsive.local_endpoint().port()};
    Follower follower(context, unresponsiveAddress, store.endpoint);
    CHECK(watch(context, follower.sourced, ViewKind::Upstreams, 5).result
          == PlatformResult::Unavailable);
    CHECK(watch(context, follower.sourced, ViewKind::Upstreams, 5).result == PlatformResult::Ok);
}

// Guards against a view that no watch updates any more but that is passed on as confirmed, after
// the settings have named another address of the store.
TEST_CASE("watches start again at a new address of the store", "[SourcedStore]")
{
    constexpr std::size_t kinds = viewKindCount;
    boost::asio::io_context context;
    std::vector<HttpResponder> before;
    HttpServer first(context, anyPort);
    first.routeAsync("GET", "/-/objects/*", [&](const auto &, const HttpResponder &respond) {
        before.push_back(respond);
    });
    int after = 0;
    HttpServer second(context, anyPort);
    second.route("GET", "/-/objects/*", [&](const HttpRequestView &) {
        ++after;
        return HttpReply{200, R"({"events":[],"as_of":9})", "application/json", {}};
    });
    Counters counters;
    Log log{LogOptions{20, {}, [](LogLevel, const std::string &) {
                       }}};
    const Scheduler scheduler = asioScheduler(context);
    platform::StoreClient store(context, startServer(first), counters);
    ViewSources sources(Member{"a-1", "a", Endpoint{1, 1}, 1});
    sources.onViewComplete();
    int lost = 0;
    SourcedStore sourced(scheduler, store, sources, counters, log,
                         {[](const ViewSource &) { return nullptr; }, [&] { ++lost; },
                          [](Duration) {
                          }});
    const auto answered = [&](ViewKind kind) {
        return watch(context, sourced, kind, 7).result;
    };
    // The first watch probes the source alone.
    std::vector<PlatformResult> results;
    const auto record = [&](const ViewEvents &events) {
        results.push_back(events.result);
    };
    sourced.watch(ViewKind::Upstreams, 7, record);
    REQUIRE(runUntil(context, [&] { return before.size() == 1; }));
    before.front()(HttpReply{200, R"({"events":[],"as_of":7})", "application/json", {}});
    REQUIRE(runUntil(context, [&] { return results.size() == 1; }));
    CHECK(sourced.isDirect());
    for (const ViewKind kind : allKinds)
        sourced.watch(kind, 7, record);
    REQUIRE(runUntil(context, [&] { return before.size() == 1 + kinds; }));

    store.setAddress(startServer(second));
    REQUIRE(runUntil(context, [&] { return results.size() == 1 + kinds; }));
    CHECK(std::ranges::count(results, PlatformResult::Unavailable) == kinds);
    CHECK_FALSE(sourced.isDirect());
    CHECK(lost == 1);
    CHECK(counters.value("source_failed") == 1);
    for (const ViewKind kind : allKinds)
        CHECK(answered(kind) == PlatformResult::Ok);
    CHECK(after == kinds);
    CHECK(sourced.isDirect());
}
