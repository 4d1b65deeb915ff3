#include "RunUntil.h"
#include "standin.h"
#include "standin/StandinSettings.h"
#include "wire/CoapCodec.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace bulrushgap;
using namespace std::chrono_literals;

namespace {

constexpr Endpoint anyPort{0x7f000001, 0};

/** \brief Forwards everything of a service to one upstream, in place of an instance. */
class PassThrough
{
public:
    explicit PassThrough(boost::asio::io_context &context)
        : socket(context, anyPort, [this](Endpoint, auto datagram) { this->handle(datagram); })
    {}

    Endpoint egress;
    Endpoint upstream;
    DatagramSocket socket;

private:
    using Request = std::pair<FlowKey, Token>;

    void handle(std::span<const std::byte> datagram)
    {
        const auto packet = this->codec.decode(datagram);
        if (!packet)
            return;
        if (packet->kind == PacketKind::FeedItem)
            this->socket.send(this->egress, datagram);
        else if (packet->kind == PacketKind::Answer || packet->kind == PacketKind::Shed)
            this->handleAnswer(*packet);
        else if (packet->kind == PacketKind::Request)
            this->handleRequest(*packet);
        else
            this->socket.send(this->upstream, datagram);
    }

    void reply(const FlowKey &flow, const Bytes &message)
    {
        this->socket.send(this->egress, CoapCodec::datagram(Direction::ToCaller, flow, message));
    }

    void handleRequest(const Packet &packet)
    {
        if (!packet.idempotent && packet.ticket.empty())
            return this->reply(packet.flow, this->codec.ticketChallenge(packet, bytesOf("t")));
        const Request request{packet.flow, packet.token};
        const auto sequence = static_cast<std::uint32_t>(this->requests.size());
        const auto [known, added] = this->sequences.emplace(request, sequence);
        if (added)
            this->requests.push_back(request);
        const Token token = DispatchId{InstanceId{1}, 1, known->second}.toToken();
        this->socket.send(this->upstream,
                          CoapCodec::datagram(Direction::ToUpstream, packet.flow,
                                              CoapCodec::withToken(packet.message, token)));
    }

    void handleAnswer(const Packet &packet)
    {
        const auto id = DispatchId::fromToken(packet.token);
        if (!id || id->sequence >= this->requests.size())
            return;
        const auto &[flow, token] = this->requests[id->sequence];
        Packet request = packet;
        request.token = token;
        this->reply(flow,
                    packet.kind == PacketKind::Shed
                        ? this->codec.refusal(request, Verdict::NotRun, RefusalReason::Overloaded)
                        : CoapCodec::withToken(packet.message, token));
    }

    CoapCodec codec;
    std::map<Request, std::uint32_t> sequences;
    std::vector<Request> requests;
};

/** \brief Fabric, pass-through, two upstreams of one service, and callers. */
struct World
{
    explicit World(UpstreamSettings prototype = {})
        : instance(context)
        , fabric(context, {{anyPort}, anyPort, anyPort, anyPort, {}, {}, 1, {}})
        , host(context, this->hostSettings(std::move(prototype)))
    {
        this->instance.egress = this->fabric.egressAddress();
        this->instance.upstream = this->host.upstream(0).address();
        this->fabric.setInstances({this->instance.socket.local()});
        this->callers.services = {{"dispatch", this->fabric.serviceAddress(0), 0, 0, 0}};
        this->callers.duration = 1s;
        this->callers.feedInterval = 200ms;
        this->callers.refreshInterval = 100ms;
    }

    UpstreamHostSettings hostSettings(UpstreamSettings prototype)
    {
        prototype.service = "dispatch";
        prototype.serviceAddress = this->fabric.serviceAddress(0);
        prototype.address = anyPort;
        prototype.feedInterval = 200ms;
        UpstreamHostSettings settings{anyPort, this->fabric.returnAddress(), {}};
        for (const char *name : {"first", "second"}) {
            prototype.name = name;
            settings.upstreams.push_back(prototype);
        }
        return settings;
    }

    std::int64_t count(std::size_t upstream, const char *name)
    {
        return this->host.upstream(upstream).stats().at(name).to_number<std::int64_t>();
    }

    /** \brief Runs callers to their end, with \a interfere called as soon as \a when holds. */
    CallerSummary run(const std::function<bool(const CallerSummary &)> &when = {},
                      const std::function<void()> &interfere = {})
    {
        bool ended = false;
        const CallerStandin standin(this->context, this->callers, [&] { ended = true; });
        if (when) {
            REQUIRE(runUntil(this->context, [&] { return when(standin.summary()); }));
            interfere();
        }
        REQUIRE(runUntil(
            this->context, [&] { return ended; }, 30s));
        return standin.summary();
    }

    boost::asio::io_context context;
    PassThrough instance;
    FabricStandin fabric;
    UpstreamHost host;
    CallerSettings callers;
};

std::string http(boost::asio::io_context &context, Endpoint server, const std::string &request)
{
    boost::asio::ip::tcp::socket socket(context);
    socket.connect({boost::asio::ip::address_v4(server.address), server.port});
    boost::asio::write(socket, boost::asio::buffer(request));
    std::string answer;
    bool ended = false;
    boost::asio::async_read(socket, boost::asio::dynamic_buffer(answer),
                            [&](const boost::system::error_code &, std::size_t) { ended = true; });
    REQUIRE(runUntil(context, [&] { return ended; }));
    return answer;
}

} // namespace

// Guards against stand-ins that report faults, or hide answers, when nothing is wrong.
TEST_CASE("without faults every feed lives and every request is answered", "[Standins]")
{
    UpstreamSettings prototype;
    prototype.parts = 3;
    prototype.slots = 50;
    prototype.serviceTime = 5ms;
    World world(prototype);
    world.fabric.setFaults({0, 0.2, 0.2, 5ms});
    world.callers.services[0].feeds = 10;
    world.callers.services[0].getsPerSecond = 40;
    world.callers.services[0].bookingsPerSecond = 20;
    const CallerSummary summary = world.run();
    INFO(boost::json::serialize(summary.toJson()));
    CHECK(summary.opened == 10);
    CHECK(summary.broken == 0);
    CHECK(summary.stalled == 0);
    CHECK(summary.wrongAnswers == 0);
    CHECK(summary.wrongItems == 0);
    CHECK(summary.count("answered") >= 50);
    CHECK(summary.count("unanswered") == 0);
    CHECK(world.count(0, "doubleRuns") == 0);
    CHECK(world.count(0, "unknownFlowPackets") == 0);
    CHECK(world.host.runs().contains("b-dispatch-b0"));
}

// Guards against broken or silent flows that the measurements do not see.
TEST_CASE("moved and silent flows are noticed on both sides", "[Standins]")
{
    const auto allOpen = [](const CallerSummary &summary) {
        return summary.opened == 5;
    };
    World world;
    world.callers.services[0].feeds = 5;
    world.callers.duration = 2s;
    SECTION("moved")
    {
        const auto move = [&] {
            world.instance.upstream = world.host.upstream(1).address();
        };
        const CallerSummary summary = world.run(allOpen, move);
        CHECK(summary.moved >= 5);
        CHECK(summary.broken >= 5);
        CHECK(world.count(1, "unknownFlowPackets") >= 5);
    }
    SECTION("silent")
    {
        const auto silence = [&] {
            world.host.setFaults({"first", {}, {}, {}, true});
        };
        const CallerSummary summary = world.run(allOpen, silence);
        CHECK(summary.stalled == 5);
        CHECK(summary.broken == 0);
    }
}

// Guards against upstreams that take any load, and against verdicts that get lost.
TEST_CASE("overloaded, cold and hanging upstreams show in the verdicts", "[Standins]")
{
    UpstreamSettings prototype;
    prototype.serviceTime = 100ms;
    World world(prototype);
    world.callers.deadline = 500ms;
    world.callers.services[0].getsPerSecond = 100;
    SECTION("overloaded")
    {
        const CallerSummary summary = world.run();
        CHECK(summary.count("not-run") > 20);
        CHECK(summary.count("answered") > 0);
        CHECK(world.count(0, "sheds") >= 20);
    }
    SECTION("cold")
    {
        world.host.setFaults({"first", {}, true, {}, {}});
        const CallerSummary summary = world.run();
        CHECK(summary.count("unanswered") > 20);
        CHECK(world.count(0, "collapses") > 0);
        CHECK(world.count(0, "maxConcurrentCold") == 2);
    }
    SECTION("hanging")
    {
        world.host.setFaults({"first", true, {}, {}, {}});
        CHECK(world.run().count("answered") == 0);
    }
}

// Guards against double runs and packets for another service that go uncounted.
TEST_CASE("upstreams count double runs and packets of another service", "[Standins]")
{
    World world;
    DatagramSocket socket(world.context, anyPort, [](Endpoint, auto) {});
    const auto send = [&](std::string_view token, const Endpoint &service) {
        const CoapRequest booking{coapcode::post, "bookings", {}, bytesOf("t"), "same"};
        const CoapIdentity identity{CoapType::Confirmable, 1, Token::from(bytesOf(token))};
        socket.send(world.host.upstream(0).address(),
                    CoapCodec::datagram(Direction::ToUpstream, {socket.local(), service},
                                        coapbuilder::request(identity, booking)));
    };
    send("1", world.fabric.serviceAddress(0));
    send("1", world.fabric.serviceAddress(0));
    send("2", world.fabric.serviceAddress(0));
    send("3", anyPort);
    CHECK(runUntil(world.context, [&] { return world.count(0, "wrongService") == 1; }));
    CHECK(world.count(0, "runs") == 2);
    CHECK(world.count(0, "doubleRuns") == 1);
}

TEST_CASE("faults and statistics are reached over HTTP", "[Standins]")
{
    World world;
    const auto post = [&](Endpoint server, const std::string &body) {
        return http(world.context, server,
                    "POST /standin/faults HTTP/1.1\r\nHost: a\r\nContent-Length: "
                        + std::to_string(body.size()) + "\r\n\r\n" + body);
    };
    const Endpoint upstream = world.host.controlAddress();
    CHECK(post(upstream, R"({"upstream": "second", "cold": true})").starts_with("HTTP/1.1 200"));
    CHECK(world.host.upstream(1).stats().at("cold").as_bool());
    CHECK(post(upstream, R"({"upstream": "third"})").starts_with("HTTP/1.1 400"));
    CHECK(post(world.fabric.controlAddress(), R"({"drop": 2})").starts_with("HTTP/1.1 400"));
    CHECK(post(world.fabric.controlAddress(), R"({"drop": 1})").starts_with("HTTP/1.1 200"));
    world.callers.services[0].getsPerSecond = 10;
    world.callers.deadline = 100ms;
    CHECK(world.run().count("answered") == 0);
    const std::string stats = http(world.context, world.fabric.controlAddress(),
                                   "GET /standin/stats HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(stats.find("\"dropped\":") != std::string::npos);
}

// Guards against packets for instances that have left or were killed, and against a list whose
// format the two stand-ins see differently, by which the fabric found no instance at all.
TEST_CASE("the instance list is polled; leaving and dead instances are skipped", "[Standins]")
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor live(context, {boost::asio::ip::address_v4::loopback(), 0});
    boost::asio::ip::tcp::acceptor killed(context, {boost::asio::ip::address_v4::loopback(), 0});
    const auto addressOf = [](const boost::asio::ip::tcp::acceptor &acceptor) {
        return Endpoint{0x7f000001, acceptor.local_endpoint().port()}.toString();
    };
    const auto instance
        = [](std::string_view address, std::string_view state, std::string_view peer) {
              return boost::json::value{{"domain", "a"},
                                        {"peerAddress", peer},
                                        {"dataAddress", address},
                                        {"bootId", 1},
                                        {"state", state}};
          };
    PlatformStandinSettings settings;
    settings.listen = {0x7f000001, 0};
    settings.objects = {{"instance/a", instance("127.0.0.1:1", "live", addressOf(live))},
                        {"instance/b", instance("127.0.0.1:2", "leaving", addressOf(live))},
                        {"instance/c", {{"state", "live"}}},
                        {"instance/d", instance("127.0.0.1:3", "live", addressOf(killed))}};
    killed.close();
    PlatformStandin platform(context, std::move(settings));
    const auto endpoint = platform.start();
    REQUIRE(endpoint);
    std::vector<Endpoint> instances;
    const InstancePoller poller(context, endpoint.value(),
                                [&](std::vector<Endpoint> list) { instances = std::move(list); });
    REQUIRE(runUntil(context, [&] { return !instances.empty(); }));
    CHECK(platform.calls().value("read") >= 1);
    CHECK(instances == std::vector<Endpoint>{{0x7f000001, 1}});
}

// Guards against settings whose mistakes go unnoticed until the demo shows odd figures.
TEST_CASE("wrong settings are named in the error", "[Standins]")
{
    const auto [text, fault] = GENERATE(table<std::string, std::string>({
        {R"([])", "settings: not an object"},
        {R"({"services": ["127.0.0.1"]})", "settings.services"},
        {R"({"services": []})", "settings.returnAddress: a text is required"},
    }));
    CHECK_THROWS_WITH(FabricSettings::parse(boost::json::parse(text)), Catch::Contains(fault));
}
