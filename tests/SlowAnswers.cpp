#include "Loopback.h"
#include "platform/StoreClient.h"
#include "role/PeerViewClient.h"
#include "role/ViewFrame.h"
#include "service/AsioScheduler.h"
#include "support/SimulatedRuns.h"
#include "view/ViewCodec.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <string>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using namespace bulrushgap::simulation;
using namespace bulrushgap::test;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;

/** \brief How a server sends an answer, and what the client has to make of it. */
struct Delivery
{
    std::size_t pieces;
    std::chrono::milliseconds interval;
    std::size_t sent; //!< Pieces that are sent; the connection stays open without the others.
    PlatformResult result;
};

/** \brief Which client reads what. */
struct Read
{
    bool fromStore;
    bool isWatch;
};

/** \brief A server that answers the first request piece by piece and never closes. */
class SlowServer
{
public:
    SlowServer(asio::io_context &context, std::string answer, Delivery delivery)
        : scheduler(asioScheduler(context))
        , answer(std::move(answer))
        , delivery(delivery)
        , acceptor(context, {asio::ip::address_v4::loopback(), 0})
        , socket(context)
    {
        this->acceptor.async_accept(this->socket, [this](boost::system::error_code error) {
            REQUIRE_FALSE(error);
            this->socket.async_read_some(
                asio::buffer(this->input),
                [this](boost::system::error_code, std::size_t) { this->sendNext(); });
        });
    }

    [[nodiscard]] Endpoint endpoint() const
    {
        return {0x7f000001, this->acceptor.local_endpoint().port()};
    }

private:
    void sendNext()
    {
        if (this->sentPieces == this->delivery.sent)
            return;
        const std::size_t begin = this->answer.size() * this->sentPieces / this->delivery.pieces;
        ++this->sentPieces;
        const std::size_t end = this->answer.size() * this->sentPieces / this->delivery.pieces;
        boost::system::error_code ignored;
        asio::write(this->socket, asio::buffer(this->answer.data() + begin, end - begin), ignored);
        this->timer = this->scheduler.after(this->delivery.interval, [this] { this->sendNext(); });
    }

    Scheduler scheduler;
    std::string answer;
    Delivery delivery;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::socket socket;
    std::array<char, 4'096> input{};
    std::size_t sentPieces = 0;
    Scheduler::Timer timer;
};

std::string storeAnswer()
{
    const std::string body = R"({"items":[],"events":[],"has_more":false,"as_of":9})";
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
           + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string peerAnswer(bool isWatch)
{
    const ViewKind kind = ViewKind::Configurations;
    const Bytes message = isWatch ? encodeEvents(kind, {PlatformResult::Ok, 9, {}, {}})
                                  : encodeList(kind, {PlatformResult::Ok, 9, {}, {}});
    const Bytes frame = ViewFrame{1, {}, message}.toBytes();
    std::string text(frame.size(), '\0');
    std::ranges::transform(frame, text.begin(),
                           [](std::byte byte) { return std::to_integer<char>(byte); });
    return text;
}

/** Both clients give up a call after 60 ms without an answer, or 600 ms after its last bytes. */
constexpr auto firstBytesTimeout = 60ms;
constexpr auto idleTimeout = 600ms;

std::unique_ptr<ObjectSource> connect(asio::io_context &context, Endpoint server, bool isStore,
                                      Counters &counters)
{
    if (isStore)
        return std::make_unique<platform::StoreClient>(
            context, server, counters,
            platform::StoreTimeouts{firstBytesTimeout, 1s, firstBytesTimeout, idleTimeout});
    return std::make_unique<PeerViewClient>(context, server, counters, PeerReadOptions{},
                                            PeerViewTimeouts{1s, idleTimeout, firstBytesTimeout});
}

/** \returns two failure domains with instances on links of 10 Mbit/s, and a configuration that
 * takes such a link for 0.83 s. */
RunSettings weakLinksAndLargeConfiguration()
{
    RunSettings settings = sampleRunSettings(26s);
    settings.domains = {"domain-1", "domain-2"};
    settings.instancesPerDomain = 2;
    settings.instanceLinks = {{2, {10}}};
    settings.idleRoutes = 5'560;
    settings.bounds.configuration = 5s;
    settings.bounds.inTouch = 5s;
    return settings;
}

} // namespace

// Guards against a large answer on a weak link that is given up while it goes on arriving, for
// ever, and against a source that falls silent in the middle of an answer and is waited for.
TEST_CASE("an answer may take longer than its timeout while it goes on arriving", "[SlowAnswers]")
{
    const auto read
        = GENERATE(values<Read>({{true, false}, {true, true}, {false, false}, {false, true}}));
    const auto delivery = GENERATE(values<Delivery>({
        {1, 0ms, 1, PlatformResult::Ok},
        {20, 40ms, 20, PlatformResult::Ok},
        {20, 40ms, 15, PlatformResult::Unavailable},
        {2, 0ms, 1, PlatformResult::Unavailable},
        {1, 0ms, 0, PlatformResult::Unavailable},
    }));
    CAPTURE(read.fromStore, read.isWatch, delivery.pieces, delivery.sent);
    asio::io_context context;
    SlowServer server(context, read.fromStore ? storeAnswer() : peerAnswer(read.isWatch), delivery);
    Counters counters;
    const auto client = connect(context, server.endpoint(), read.fromStore, counters);
    std::optional<PlatformResult> result;
    if (read.isWatch)
        client->watchFor(ViewKind::Configurations, 5, 0ms,
                         [&](const ViewEvents &events) { result = events.result; });
    else
        client->list(ViewKind::Configurations, [&](const ViewList &list) { result = list.result; });
    bool seenArriving = false;
    REQUIRE(runUntil(context, [&] {
        seenArriving = seenArriving || client->lastArrival();
        return result.has_value();
    }));
    CHECK(*result == delivery.result);
    CHECK(seenArriving == (delivery.pieces > 1));
    CHECK_FALSE(client->lastArrival().has_value());
    const bool brokenOff = delivery.sent > 0 && delivery.sent < delivery.pieces;
    CHECK(counters.value(read.fromStore ? "store_answer_broken_off" : "peer_reply_broken_off")
          == (brokenOff ? 1 : 0));
}

// Guards against instances that keep an old configuration after a cut: on a link of 10 Mbit/s a
// configuration of 1 MB takes longer than a watch of the store or of another instance waited, and
// the versions of a storm, all in one answer, take many seconds.
TEST_CASE("a large configuration arrives over weak links after a cut", "[SlowAnswers]")
{
    const auto seed = GENERATE(range(1U, 4U));
    const std::string cut = GENERATE(as<std::string>(), "domain-1", "domain-2");
    const bool storm = GENERATE(false, true);
    std::vector<PlannedFault> faults{{FaultKind::DomainCut, 3s, 2s, 1.0, cut},
                                     {FaultKind::RouteMoved, storm ? 4'800ms : 3'050ms, 20s}};
    if (storm)
        faults.push_back({FaultKind::ConfigurationStorm, 3'050ms, 1'500ms});
    INFO("seed " << seed << '\n' << faultLines(faults));
    const RunReport report = simulate(weakLinksAndLargeConfiguration(), faults, seed);
    INFO(report.toText());
    CHECK(report.counter("longest_passage_ms") >= 800);
    CHECK(report.brokenTotal() == 0);
}
