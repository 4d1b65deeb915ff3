#include "peer/PeerMesh.h"

#include "RunUntil.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace std::chrono_literals;

namespace {

/** \brief A mesh that records its events. */
struct Node
{
    Node(boost::asio::io_context &context, PeerMeshSettings settings)
        : mesh(context, std::move(settings), this->counters, this->random,
               {[this](const Hello &hello) { this->ups.push_back(hello.instance); },
                [this](std::string_view name) { this->downs.emplace_back(name); },
                [this](std::string_view, PeerMessage message) {
                    this->messages.push_back(std::move(message));
                },
                {}})
    {}

    Counters counters;
    Random random{1};
    std::vector<std::string> ups;
    std::vector<std::string> downs;
    std::vector<PeerMessage> messages;
    PeerMesh mesh;
};

PeerMeshSettings settingsOf(const std::string &name, std::vector<Endpoint> seeds = {})
{
    PeerMeshSettings settings;
    settings.listen = {0x7f000001, 0};
    settings.self = {peerProtocolVersion, "sajja", "main", name, "yala", 1, "", ""};
    settings.seeds = std::move(seeds);
    settings.dialDelay = 5ms;
    settings.dialDelayLimit = 50ms;
    return settings;
}

bool arePeers(const Node &first, const std::string &firstName, const Node &second,
              const std::string &secondName)
{
    return first.mesh.isUp(secondName) && second.mesh.isUp(firstName);
}

} // namespace

// Guards against pairs that stay unconnected or exchange messages on a connection of two that
// only one side keeps.
TEST_CASE("three meshes connect, each pair once", "[PeerMesh]")
{
    boost::asio::io_context context;
    Node a(context, settingsOf("a"));
    Node b(context, settingsOf("b", {a.mesh.address()}));
    Node c(context, settingsOf("c", {a.mesh.address(), b.mesh.address()}));
    const std::vector<Endpoint> all{a.mesh.address(), b.mesh.address(), c.mesh.address()};
    for (Node *node : {&a, &b, &c})
        node->mesh.setPeers(all);
    const auto duplicates = [&] {
        return a.counters.value("peer_duplicate_link") > 0;
    };
    REQUIRE(runUntil(context, duplicates));
    const auto settled = [&] {
        return arePeers(a, "a", b, "b") && arePeers(a, "a", c, "c") && arePeers(b, "b", c, "c");
    };
    REQUIRE(runUntil(context, settled));
    const auto received = [&] {
        (void)a.mesh.broadcast(Heartbeat{});
        (void)c.mesh.send("b", InForce{{3, 0, 0}});
        const bool third
            = std::ranges::find(b.messages, PeerMessage(InForce{{3, 0, 0}})) != b.messages.end();
        return third && !c.messages.empty();
    };
    REQUIRE(runUntil(context, received));
    CHECK(settled());
    CHECK_FALSE(a.mesh.send("d", Heartbeat{}));
    CHECK(a.counters.value("peer_sent_bytes_heartbeat") > 0);
    CHECK(c.counters.value("peer_received_bytes_heartbeat") > 0);
}

// Guards against instances of another deployment or version that take part in decisions.
TEST_CASE("peers that do not belong are refused and counted", "[PeerMesh]")
{
    const auto [counter, change] = GENERATE(table<std::string, void (*)(Hello &)>({
        {"peer_refused_version",
         [](Hello &hello) {
             hello.protocolVersion = 2;
         }},
        {"peer_refused_deployment",
         [](Hello &hello) {
             hello.deployment = "other";
         }},
        {"peer_refused_scope",
         [](Hello &hello) {
             hello.scope = "other";
         }},
        {"peer_refused_own_name",
         [](Hello &hello) {
             hello.instance = "a";
         }},
    }));
    boost::asio::io_context context;
    Node a(context, settingsOf("a"));
    PeerMeshSettings settings = settingsOf("b", {a.mesh.address()});
    change(settings.self);
    Node b(context, settings);
    REQUIRE(runUntil(context, [&] { return a.counters.value(counter) >= 2; }));
    CHECK(a.ups.empty());
    CHECK(b.ups.empty());
}

// Guards against a mesh that does not find a restarted peer, or keeps a partitioned one.
TEST_CASE("a peer that restarts or was partitioned is connected again", "[PeerMesh]")
{
    boost::asio::io_context context;
    Node a(context, settingsOf("a"));
    PeerMeshSettings settings = settingsOf("b", {a.mesh.address()});
    auto b = std::make_unique<Node>(context, settings);
    a.mesh.setPeers(std::vector{b->mesh.address()});
    settings.listen = b->mesh.address();
    REQUIRE(runUntil(context, [&] { return arePeers(a, "a", *b, "b"); }));

    b.reset();
    REQUIRE(runUntil(context, [&] { return !a.mesh.isUp("b"); }));
    REQUIRE_FALSE(a.downs.empty());
    settings.self.bootId = 2;
    settings.link.idleLimit = 100ms;
    b = std::make_unique<Node>(context, settings);
    REQUIRE(runUntil(context, [&] { return arePeers(a, "a", *b, "b"); }));

    a.mesh.setBlocked([](std::string_view name) { return name == "b"; });
    REQUIRE(runUntil(context, [&] { return a.counters.value("peer_refused_blocked") > 0; }));
    CHECK_FALSE(a.mesh.isUp("b"));
    a.mesh.setBlocked({});
    REQUIRE(runUntil(context, [&] { return arePeers(a, "a", *b, "b"); }));
}

// Guards against a slow or throttled peer that uses up memory, and against heartbeats that wait
// behind bulk messages.
TEST_CASE("queues are bounded and heartbeats overtake within the budget", "[PeerMesh]")
{
    boost::asio::io_context context;
    Node a(context, settingsOf("a"));
    PeerMeshSettings settings = settingsOf("b", {a.mesh.address()});
    settings.bytesPerSecond = 2000;
    settings.burst = 4000;
    settings.link.priorityReserve = 1000;
    settings.link.queueLimit = 20000;
    Node b(context, settings);
    REQUIRE(runUntil(context, [&] { return arePeers(a, "a", b, "b"); }));
    const Digest bulk{{}, {{ServiceId{1}, std::vector<FlowRecord>(250)}}};
    int queued = 0;
    while (b.mesh.send("a", bulk))
        ++queued;
    CHECK(queued < 20);
    CHECK(b.counters.value("peer_queue_full") == 1);
    REQUIRE(b.mesh.send("a", Heartbeat{}));
    REQUIRE(runUntil(context, [&] { return a.messages.size() >= 3; }));
    CHECK(a.messages.at(1) == PeerMessage(Heartbeat{}));
    CHECK(a.messages.at(2) == PeerMessage(bulk));
    CHECK(b.counters.value("peer_deferred_bytes") > 0);
}
