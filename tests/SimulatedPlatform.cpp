#include "simulation/Fabric.h"
#include "simulation/Surroundings.h"
#include "simulation/WirePacket.h"

#include <catch2/catch.hpp>

#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::simulation;
using namespace std::chrono_literals;

namespace {

WirePacket samplePacket()
{
    WirePacket packet;
    packet.source = {0xc612'0001, 40'000};
    packet.destination = {0xc633'0001, 8'443};
    packet.sequence = 0xffff'fff0;
    packet.acknowledged = 17;
    packet.echo = 0x1234'5678;
    packet.ack = true;
    packet.fin = true;
    const auto data = bytesOf("GET / HTTP/1.1");
    packet.data.assign(data.begin(), data.end());
    return packet;
}

/** \brief A store in virtual time, with what its watches have answered. */
class StoreScene
{
public:
    StoreScene()
        : surroundings(1, {}, 20s)
    {}
    StoreScene(const StoreScene &) = delete;
    StoreScene &operator=(const StoreScene &) = delete;

    StoreModel &store() { return this->surroundings.store; }
    void run(Duration duration) { this->surroundings.loop.runFor(duration); }

    void evacuate(const std::string &domain)
    {
        this->store().put(ViewKind::Evacuations, domain, balance::Evacuation{});
    }

    void watch(std::uint64_t since)
    {
        this->store().watch(ViewKind::Evacuations, since, 5s,
                            [this](const ViewEvents &events) { this->answers.push_back(events); });
    }

    Surroundings surroundings;
    std::vector<ViewEvents> answers;
};

} // namespace

// Guards against a model that changes what callers and upstreams write.
TEST_CASE("A packet survives its encoding", "[SimulatedPlatform]")
{
    WirePacket packet = samplePacket();
    const Bytes bytes = packet.toBytes();
    const auto parsed = WirePacket::parse(bytes);
    REQUIRE(parsed);
    CHECK(parsed->source == packet.source);
    CHECK(parsed->destination == packet.destination);
    CHECK(parsed->sequence == packet.sequence);
    CHECK(parsed->acknowledged == packet.acknowledged);
    CHECK(parsed->echo == packet.echo);
    CHECK(parsed->data == packet.data);
    CHECK(parsed->isSealed());
}

// Guards against a crash on a datagram that ends early.
TEST_CASE("A truncated packet is refused", "[SimulatedPlatform]")
{
    const Bytes bytes = samplePacket().toBytes();
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        INFO(size);
        CHECK(!WirePacket::parse(std::span(bytes).first(size)));
    }
}

// Guards against a change to a packet that its end would not notice.
TEST_CASE("A change breaks the seal, the echo apart", "[SimulatedPlatform]")
{
    struct Case
    {
        std::function<void(WirePacket &)> change;
        bool sealed;
    };
    const auto each = GENERATE(values<Case>({
        {[](WirePacket &packet) { ++packet.sequence; }, false},
        {[](WirePacket &packet) { ++packet.acknowledged; }, false},
        {[](WirePacket &packet) { packet.fin = false; }, false},
        {[](WirePacket &packet) { packet.data.push_back(std::byte{0}); }, false},
        {[](WirePacket &packet) { ++packet.source.port; }, false},
        {[](WirePacket &packet) { ++packet.echo; }, true},
    }));
    WirePacket packet = samplePacket();
    (void)packet.toBytes();
    each.change(packet);
    CHECK(packet.isSealed() == each.sealed);
}

// Guards against watches of the model that lose or repeat a change.
TEST_CASE("A watch answers with the changes after its revision", "[SimulatedPlatform]")
{
    StoreScene scene;
    scene.evacuate("a");
    const std::uint64_t since = scene.store().revision();
    scene.watch(since);
    scene.run(1s);
    CHECK(scene.answers.empty());
    scene.evacuate("b");
    REQUIRE(scene.answers.size() == 1);
    REQUIRE(scene.answers[0].events.size() == 1);
    CHECK(scene.answers[0].events[0].key == "b");
    scene.watch(since);
    REQUIRE(scene.answers.size() == 2);
    CHECK(scene.answers[1].events.size() == 1);
}

TEST_CASE("A watch without changes answers at its end", "[SimulatedPlatform]")
{
    StoreScene scene;
    scene.watch(scene.store().revision());
    scene.run(4'900ms);
    CHECK(scene.answers.empty());
    scene.run(200ms);
    REQUIRE(scene.answers.size() == 1);
    CHECK(scene.answers[0].result == PlatformResult::Ok);
    CHECK(scene.answers[0].events.empty());
}

// Guards against watches that go on from a history that the store no longer has.
TEST_CASE("A watch from before the history is told so", "[SimulatedPlatform]")
{
    StoreScene scene;
    const bool byAge = GENERATE(false, true);
    const std::uint64_t since = scene.store().revision();
    scene.evacuate("a");
    if (byAge) {
        scene.run(25s);
        scene.evacuate("b");
    } else {
        scene.store().forgetHistory();
    }
    scene.watch(since);
    REQUIRE(scene.answers.size() == 1);
    CHECK(scene.answers[0].result == PlatformResult::Gone);
}

// Guards against a fabric that sends flows to instances that are not ready.
TEST_CASE("The fabric uses the instances in rotation", "[SimulatedPlatform]")
{
    struct Case
    {
        std::set<std::size_t> ready; //!< Of 0 to 3 in the own domain and 4 in another.
        std::set<std::size_t> used;
    };
    const auto each = GENERATE(values<Case>({
        {{0, 1, 2, 3, 4}, {0, 1, 2, 3}},
        {{0, 1, 4}, {0, 1}},
        {{2, 4}, {0, 1, 2, 3}}, // Fewer than half: all of the domain.
        {{4}, {4}},             // None: another domain.
        {{}, {}},
    }));
    const bool steadyHash = GENERATE(false, true);
    EventLoop loop;
    const Scheduler scheduler = loop.scheduler();
    Fabric fabric(scheduler, steadyHash,
                  [&](std::size_t index) { return each.ready.contains(index); });
    for (std::size_t index = 0; index < 4; ++index)
        fabric.add(index, "own");
    fabric.add(4, "other");
    fabric.start();
    std::set<std::size_t> used;
    for (std::uint16_t port = 1'000; port < 1'200; ++port) {
        if (const auto index = fabric.route("own", {1, port}, {2, 80}))
            used.insert(*index);
    }
    CHECK(used == each.used);
}

// Guards against messages that skip a link on their way, and probes that do not wait behind others.
TEST_CASE("Messages and probes wait for the links of both ends", "[SimulatedPlatform]")
{
    struct Case
    {
        std::set<std::string> limited; //!< To 8 Mbit/s, a byte in a microsecond.
        std::string messageTo;         //!< Gets 50,000 bytes from "near" before the probe.
        Duration message;              //!< Least time until the message is there.
        Duration probe;                //!< Least time of a probe from "near" to "far".
    };
    const auto each = GENERATE(values<Case>({
        {{}, "far", 0ms, 1ms},
        {{"near"}, "far", 50ms, 51ms},
        {{"far"}, "far", 50ms, 50ms}, // The message reaches the other end first.
        {{"near", "far"}, "far", 100ms, 100ms},
        {{"near"}, "third", 50ms, 51ms},
        {{"far", "third"}, "third", 50ms, 1ms},
    }));
    constexpr Duration tolerance = 2ms;
    Surroundings surroundings(1, {}, 20s);
    for (const std::string &name : each.limited)
        surroundings.transport.limit(name, {8});
    const auto place = [](const std::string &name) {
        return Place{Place::Role::Instance, "domain", name};
    };
    const TimePoint start = surroundings.loop.now();
    Duration message{};
    Duration probe{};
    surroundings.transport.send(place("near"), place(each.messageTo),
                                {Transmission::Kind::Stream, 50'000},
                                [&] { message = surroundings.loop.now() - start; });
    surroundings.transport.probe(place("near"), place("far"),
                                 [&] { probe = surroundings.loop.now() - start; });
    surroundings.loop.runFor(1s);
    CHECK(message >= each.message);
    CHECK(message < each.message + tolerance);
    CHECK(probe >= each.probe);
    CHECK(probe < each.probe + tolerance);
}

// Guards against events that run out of order, or after their timer was dropped.
TEST_CASE("Virtual time runs events in order", "[SimulatedPlatform]")
{
    EventLoop loop;
    const Scheduler scheduler = loop.scheduler();
    std::vector<int> order;
    loop.after(2s, [&] { order.push_back(3); });
    loop.after(1s, [&] { order.push_back(1); });
    loop.after(1s, [&] { order.push_back(2); });
    auto dropped = scheduler.after(1s, [&] { order.push_back(4); });
    dropped.reset();
    loop.runFor(3s);
    CHECK(order == std::vector<int>{1, 2, 3});
}
