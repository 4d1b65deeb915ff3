#include "wire/CoapCodec.h"

#include "wire/CoapBuilder.h"
#include "wire/ProxyHeader.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <string>
#include <vector>

using namespace bulrushgap;
using namespace std::chrono_literals;

namespace {

const FlowKey flow{{0x7f000001, 40000}, {0x7f000201, 5683}};
const Token token = Token::from(bytesOf("abcd"));
const CoapIdentity confirmable{CoapType::Confirmable, 7, token};
const CoapIdentity nonConfirmable{CoapType::NonConfirmable, 8, token};

struct Example
{
    std::string name;
    Direction direction;
    Bytes message;
    PacketKind kind;
    bool idempotent;
};

std::vector<Example> examples()
{
    using enum PacketKind;
    namespace build = coapbuilder;
    const auto up = Direction::ToUpstream;
    const auto down = Direction::ToCaller;
    const CoapRequest get{coapcode::get, "p", 1500ms, {}, ""};
    const CoapRequest post{coapcode::post, "p", 1500ms, bytesOf("ticket"), "body"};
    const CoapAnswer answer{
        coapcode::content, {}, CoapBlock{3, true}, LoadReport{2, 9, false}, "xy"};
    return {
        {"open", up, build::observe(confirmable, false), FlowData, false},
        {"refresh", up, build::observe(confirmable, true), FlowData, false},
        {"close", up, build::unobserve(confirmable), FlowClose, false},
        {"acknowledgement", up, build::acknowledgement(7), FlowData, false},
        {"get", up, build::request(confirmable, get), Request, true},
        {"post", up, build::request(nonConfirmable, post), Request, false},
        {"cancel", up, build::cancel(confirmable, coapcode::post), Cancel, false},
        {"item", down, build::notification(confirmable, 5, {}), FeedItem, false},
        {"answer", down, build::answer(nonConfirmable, answer), Answer, false},
        {"shed", down, build::answer(confirmable, {coapcode::serviceUnavailable, {}, {}, {}, ""}),
         Shed, false},
    };
}

Packet decodeRequest(CoapCodec &codec, const Bytes &datagram)
{
    const auto packet = codec.decode(datagram);
    REQUIRE(packet);
    return *packet;
}

} // namespace

// Guards against misclassified messages, for example a POST that is retried as idempotent.
TEST_CASE("messages decode to the expected packet kinds", "[CoapCodec]")
{
    CoapCodec codec;
    for (const Example &example : examples()) {
        INFO(example.name);
        const Bytes datagram = CoapCodec::datagram(example.direction, flow, example.message);
        const auto packet = codec.decode(datagram);
        REQUIRE(packet);
        CHECK(packet->kind == example.kind);
        CHECK(packet->flow == flow);
        CHECK(packet->idempotent == example.idempotent);
        CHECK(packet->message.data() == datagram.data() + ProxyHeader::encodedSize);
        CHECK(packet->message.size() == example.message.size());
        if (example.name == "post") {
            CHECK(packet->deadline == 1500ms);
            CHECK(textOf(packet->ticket) == "ticket");
            CHECK(packet->ticket.data() > datagram.data());
            CHECK(packet->ticket.data() < datagram.data() + datagram.size());
        }
        if (example.name == "answer") {
            CHECK(packet->load == LoadReport{2, 9, false});
            CHECK(packet->part == 3);
            CHECK_FALSE(packet->lastPart);
        }
    }
}

// Guards against losing option or payload bytes when the dispatcher replaces the token.
TEST_CASE("withToken changes token and deadline only", "[CoapCodec]")
{
    const CoapRequest post{coapcode::post, "p", 1500ms, bytesOf("ticket"), "body"};
    const Token other = Token::from(bytesOf("12345678"));
    const Bytes original = coapbuilder::request(confirmable, post);
    const Bytes changed = CoapCodec::withToken(original, other, 20ms);
    CoapParser parser;
    const auto message = parser.parse(changed);
    REQUIRE(message);
    CHECK(message->token == other);
    CHECK(message->id == 7);
    CHECK(message->deadline == 20ms);
    CHECK(textOf(message->echo) == "ticket");
    CHECK(textOf(message->payload) == "body");
    CHECK(CoapCodec::withToken(CoapCodec::withToken(original, other), token) == original);
    const Bytes cancel = coapbuilder::cancel(confirmable, coapcode::get);
    const auto cancelled = parser.parse(CoapCodec::withToken(cancel, other, 20ms));
    REQUIRE(cancelled);
    CHECK(cancelled->cancel);
    CHECK(cancelled->deadline == 20ms);
}

// Guards against refusals without a matching token or a readable verdict.
TEST_CASE("replies match the request and state the verdict", "[CoapCodec]")
{
    CoapCodec codec;
    CoapParser parser;
    const auto identity = GENERATE(confirmable, nonConfirmable);
    const Bytes datagram
        = CoapCodec::datagram(Direction::ToUpstream, flow, coapbuilder::request(identity, {}));
    const Packet request = decodeRequest(codec, datagram);

    const Bytes notRun = codec.refusal(request, Verdict::NotRun, RefusalReason::QueueFull);
    const auto first = parser.parse(notRun);
    REQUIRE(first);
    CHECK(first->code == coapcode::serviceUnavailable);
    CHECK(textOf(first->payload) == "not-run queue_full");
    CHECK(first->token == token);
    const bool acknowledged = identity.type == CoapType::Confirmable;
    CHECK((first->type == CoapType::Acknowledgement) == acknowledged);
    CHECK((first->id == identity.id) == acknowledged);

    const Bytes mayHaveRun
        = codec.refusal(request, Verdict::MayHaveRun, RefusalReason::UpstreamFailed);
    const auto second = parser.parse(mayHaveRun);
    REQUIRE(second);
    CHECK(second->code == coapcode::gatewayTimeout);
    CHECK(textOf(second->payload) == "may-have-run upstream_failed");

    const Bytes challenge = codec.ticketChallenge(request, bytesOf("t1"));
    const auto third = parser.parse(challenge);
    REQUIRE(third);
    CHECK(third->code == coapcode::unauthorized);
    CHECK(textOf(third->echo) == "t1");

    const Bytes reset = CoapCodec::reset(request);
    const auto fourth = parser.parse(reset);
    REQUIRE(fourth);
    CHECK(fourth->type == CoapType::Reset);
    CHECK(fourth->id == identity.id);
}

// Guards against out-of-bounds reads on datagrams truncated at any length.
TEST_CASE("truncations of valid datagrams do not decode beyond their end", "[CoapCodec]")
{
    CoapCodec codec;
    for (const Example &example : examples()) {
        const Bytes datagram = CoapCodec::datagram(example.direction, flow, example.message);
        const std::size_t tokenSize = std::to_integer<std::size_t>(example.message[0]) & 0xfU;
        const std::size_t smallest = ProxyHeader::encodedSize + 4 + tokenSize;
        for (std::size_t size = 0; size < datagram.size(); ++size) {
            INFO(example.name << ' ' << size);
            const Bytes part(datagram.begin(),
                             datagram.begin() + static_cast<std::ptrdiff_t>(size));
            const auto packet = codec.decode(part);
            if (size < smallest)
                CHECK_FALSE(packet);
            if (packet && !packet->ticket.empty())
                CHECK(packet->ticket.data() + packet->ticket.size() <= part.data() + part.size());
        }
    }
}

TEST_CASE("oversized datagrams are rejected; random and mutated ones are handled safely",
          "[CoapCodec]")
{
    CoapCodec codec;
    const std::string body(2000, 'x');
    const Bytes large = CoapCodec::datagram(
        Direction::ToUpstream, flow,
        coapbuilder::request(confirmable, {coapcode::put, "p", {}, {}, body}));
    CHECK_FALSE(codec.decode(large));
    const std::vector<Example> all = examples();
    CHECK(rc::check("random messages", [&](const std::vector<std::uint8_t> &bytes) {
        (void)codec.decode(std::as_bytes(std::span(bytes)));
        (void)codec.decode(
            CoapCodec::datagram(Direction::ToUpstream, flow, std::as_bytes(std::span(bytes))));
    }));
    CHECK(rc::check("mutated messages", [&](std::uint8_t value) {
        const Example &example = all[*rc::gen::inRange<std::size_t>(0, all.size())];
        Bytes datagram = CoapCodec::datagram(example.direction, flow, example.message);
        datagram[*rc::gen::inRange<std::size_t>(0, datagram.size())]
            = static_cast<std::byte>(value);
        const auto packet = codec.decode(datagram);
        if (packet && packet->kind == PacketKind::Request)
            RC_ASSERT(codec.decode(CoapCodec::datagram(
                Direction::ToUpstream, flow, CoapCodec::withToken(packet->message, token, 5ms))));
    }));
}
