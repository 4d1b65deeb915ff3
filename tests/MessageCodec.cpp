#include "peer/MessageCodec.h"

#include "peer/RelayCodec.h"
#include "peer/peer_generated.h"
#include "service/FrameReader.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace bulrushgap;

namespace {

using Outcome = std::variant<PeerMessage, MessageError>;

Outcome decode(std::span<const std::byte> bytes)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Outcome> {
            BOOST_LEAF_AUTO(message, MessageCodec::decode(bytes));
            return Outcome(message);
        },
        [](MessageError error) { return Outcome(error); },
        [] { return Outcome(MessageError::Malformed); });
}

std::optional<Bytes> encode(const PeerMessage &message)
{
    const auto encoded = MessageCodec::encode(message);
    return encoded ? std::optional(encoded.value()) : std::nullopt;
}

bool isError(const Outcome &outcome, MessageError error)
{
    const auto *found = std::get_if<MessageError>(&outcome);
    return found != nullptr && *found == error;
}

Plan examplePlan()
{
    Plan plan;
    plan.id = {7, 2, 0xfedcba9876543210};
    plan.configVersion = 6;
    plan.domains = {{DomainId{1}, "pattani", true}, {DomainId{2}, "yala", false}};
    plan.instances = {{InstanceId{3}, "pattani-1", DomainId{1}, {1, 2}, {3, 4}, 99, true}};
    const PlanUpstream upstream{UpstreamId{5},         "d-1", {5, 6}, DomainId{1}, 4, 2,
                                UpstreamState::Ejected};
    plan.services = {{ServiceId{1}, "dispatch", {7, 8}, {upstream}}, {ServiceId{2}, "g", {}, {}}};
    return plan;
}

std::vector<PeerMessage> examples()
{
    const PlanId id{7, 2, 9};
    const FlowRecord largest{0xfff, 0xffffffffff, UpstreamId{0xffff}};
    const std::vector<ServiceFlows> flows{
        {ServiceId{1}, {{1, 2, UpstreamId{3}}, largest, {0, 0, UpstreamId{0x1234}}}},
        {ServiceId{9}, {}},
    };
    return {
        Hello{1, "sajja", "main", "yala-1", "yala", 42, "127.0.0.1:1", "127.0.0.1:2"},
        Heartbeat{id, {8, 0, 1}, true, true, {{ServiceId{1}, 5}}},
        PlanPush{examplePlan()},
        PlanRequest{id, true},
        Digest{id, flows},
        Prepared{id, {{ServiceId{1}, UpstreamId{2}, 3}}},
        Union{id, {0, 63}, flows},
        InForce{id},
        UpstreamStatus{ServiceId{1}, UpstreamId{2}, true, 4},
        Snapshot{examplePlan(), flows},
    };
}

} // namespace

// Guards against fields that are left out or swapped on one of the two sides.
TEST_CASE("every message survives a round trip", "[MessageCodec]")
{
    const auto all = examples();
    REQUIRE(all.size() == std::variant_size_v<PeerMessage>);
    for (const PeerMessage &message : all) {
        INFO(MessageCodec::typeName(message));
        const auto bytes = encode(message);
        REQUIRE(bytes);
        CHECK(decode(*bytes) == Outcome(message));
        Bytes shifted{std::byte{0}};
        shifted.insert(shifted.end(), bytes->begin(), bytes->end());
        CHECK(decode(std::span(shifted).subspan(1)) == Outcome(message));
        for (std::size_t size = 0; size < bytes->size(); ++size)
            (void)decode(Bytes(bytes->begin(), bytes->begin() + static_cast<std::ptrdiff_t>(size)));
    }
    const auto sizeOf = [](std::size_t flows) {
        return encode(Digest{{}, {{ServiceId{1}, std::vector<FlowRecord>(flows)}}})->size();
    };
    CHECK(sizeOf(1008) - sizeOf(8) <= 9 * 1000);
}

TEST_CASE("random and mutated bytes do no harm", "[MessageCodec]")
{
    const auto all = examples();
    CHECK(rc::check("random bytes", [](const std::vector<std::uint8_t> &bytes) {
        (void)decode(std::as_bytes(std::span(bytes)));
        (void)RelayCodec::decode(std::as_bytes(std::span(bytes)));
    }));
    CHECK(rc::check("mutated messages", [&](std::uint8_t value) {
        Bytes bytes = *encode(all[*rc::gen::inRange<std::size_t>(0, all.size())]);
        bytes[*rc::gen::inRange<std::size_t>(0, bytes.size())] = static_cast<std::byte>(value);
        const Outcome outcome = decode(bytes);
        if (const auto *message = std::get_if<PeerMessage>(&outcome))
            RC_ASSERT(encode(*message).has_value());
    }));
}

// Guards against values that would index beyond arrays or break the lookups in a plan.
TEST_CASE("values out of range are malformed", "[MessageCodec]")
{
    Plan heavy = examplePlan();
    heavy.services[0].upstreams[0].weight = fullWeight + 1;
    Plan unsorted = examplePlan();
    std::swap(unsorted.domains[0], unsorted.domains[1]);
    Plan repeated = examplePlan();
    repeated.services[1].id = repeated.services[0].id;
    const std::vector<PeerMessage> wrong{
        PlanPush{heavy},
        PlanPush{unsorted},
        PlanPush{repeated},
        Union{{}, {64}, {}},
        UpstreamStatus{{}, {}, false, 0},
        UpstreamStatus{{}, {}, false, fullWeight + 1},
    };
    for (const PeerMessage &message : wrong)
        CHECK(isError(decode(*encode(message)), MessageError::Malformed));
}

TEST_CASE("oversized messages are not encoded", "[MessageCodec]")
{
    CHECK_FALSE(encode(Hello{1, std::string(256, 'x'), "", "", "", 0, "", ""}));
    const std::vector<FlowRecord> flows(maximalFrameSize / 9 + 1);
    CHECK_FALSE(encode(Digest{{}, {{ServiceId{1}, flows}}}));
    CHECK(isError(decode(Bytes(maximalFrameSize + 1)), MessageError::TooLarge));
}

// Guards against a rolling update in which the first newer message closes every connection.
TEST_CASE("a message type of a newer version is unsupported, not malformed", "[MessageCodec]")
{
    flatbuffers::FlatBufferBuilder builder;
    const auto body = peerwire::CreateInForce(builder).Union();
    builder.Finish(peerwire::CreatePeerMessage(builder, peerwire::Message{200}, body));
    const std::span bytes(builder.GetBufferPointer(), builder.GetSize());
    CHECK(isError(decode(std::as_bytes(bytes)), MessageError::Unsupported));
}

TEST_CASE("frames are cut out of any split of the stream", "[MessageCodec]")
{
    const Bytes first(5, std::byte{1});
    const Bytes second;
    Bytes stream = FrameReader::encodeFrame(first);
    const Bytes tail = FrameReader::encodeFrame(second);
    stream.insert(stream.end(), tail.begin(), tail.end());
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        FrameReader reader{maximalFrameSize};
        std::vector<Bytes> frames;
        for (const auto part : {std::span(stream).first(cut), std::span(stream).subspan(cut)}) {
            reader.append(part);
            while (auto frame = reader.next())
                frames.push_back(*frame);
        }
        CHECK(frames == std::vector<Bytes>{first, second});
    }
    FrameReader reader{maximalFrameSize};
    reader.append(Bytes(4, std::byte{0xff}));
    CHECK_FALSE(reader.next());
    CHECK(reader.isLimitExceeded());
}

// Guards against a relayed datagram that is taken for one of the fabric, or the other way round.
TEST_CASE("relays survive a round trip and truncations are rejected", "[MessageCodec]")
{
    const RelayHeader header{RelayKind::Issuer, InstanceId{3}, 4, 5, 2, 6};
    const Bytes payload(10, std::byte{0x0d});
    const Bytes datagram = RelayCodec::encode(header, payload);
    CHECK(RelayCodec::isRelay(datagram));
    CHECK_FALSE(RelayCodec::isRelay(payload));
    const auto decoded = RelayCodec::decode(datagram);
    REQUIRE(decoded);
    CHECK(decoded->header == header);
    CHECK(Bytes(decoded->payload.begin(), decoded->payload.end()) == payload);
    for (std::size_t size = 0; size < datagram.size() - payload.size(); ++size)
        CHECK_FALSE(RelayCodec::decode(std::span(datagram).first(size)));
    CHECK_FALSE(
        RelayCodec::decode(RelayCodec::encode({RelayKind::Ticket, {}, 0, 0, 3, 0}, payload)));
}
