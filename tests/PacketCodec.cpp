#include "platform/PacketCodec.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::platform;

namespace {

constexpr unsigned synFlag = 2;
constexpr unsigned ackFlag = 4;
constexpr unsigned finFlag = 128;
constexpr unsigned rstFlag = 1;

/** \returns a caller's packet with the given flags and data. */
std::vector<std::byte> datagram(unsigned flags, std::size_t dataBytes, std::size_t statedBytes)
{
    std::vector<std::byte> bytes(packetHeaderBytes + dataBytes);
    const std::vector<unsigned> header{
        0,
        0,
        0x10,
        0x01, // sequence
        0,
        0,
        0x20,
        0x02,  // acknowledged
        flags, // flags
        9,
        9,
        9,
        9,                                         // checksum
        static_cast<unsigned>(statedBytes >> 8),   // length
        static_cast<unsigned>(statedBytes & 0xff), //
        0xa1,
        0xb2,
        0xc3,
        0xd4, // flow tag
        0x04,
        0x01, // source port 1025
        198,
        18,
        0,
        1, // destination
        0x20,
        0xfb, // destination port 8443
        100,
        64,
        0,
        7, // source
    };
    std::ranges::transform(header, bytes.begin(),
                           [](unsigned byte) { return static_cast<std::byte>(byte); });
    return bytes;
}

} // namespace

// Guards against fields read at wrong offsets, which would send flows to wrong upstreams.
TEST_CASE("a packet's fields are read", "[PacketCodec]")
{
    const auto packet = decodePacket(datagram(ackFlag | finFlag, 3, 3));
    REQUIRE(packet);
    CHECK(packet->sequence == 0x1001);
    CHECK(packet->acknowledged == 0x2002);
    CHECK(packet->flowTag == 0xa1b2c3d4);
    CHECK(packet->dataBytes == 3);
    CHECK(packet->caller.toString() == "100.64.0.7:1025");
    CHECK(packet->route.toString() == "198.18.0.1:8443");
    CHECK_FALSE(packet->syn);
    CHECK(packet->fin);
    CHECK_FALSE(packet->rst);
}

// Guards against malformed input that is forwarded or that reads past the datagram.
TEST_CASE("malformed packets are refused", "[PacketCodec]")
{
    struct Case
    {
        const char *what;
        unsigned flags;
        std::size_t dataBytes;
        std::size_t statedBytes;
        bool valid;
    };
    const auto test = GENERATE(values<Case>({
        {"SYN", synFlag, 0, 0, true},
        {"acknowledgement", ackFlag, 0, 0, true},
        {"reset", rstFlag, 0, 0, true},
        {"maximum data", ackFlag, 1'200, 1'200, true},
        {"too much data", ackFlag, 1'201, 1'201, false},
        {"less data than stated", ackFlag, 3, 4, false},
        {"more data than stated", ackFlag, 4, 3, false},
        {"no flag", 0, 0, 0, false},
        {"SYN and FIN", synFlag | finFlag, 0, 0, false},
        {"SYN and RST", synFlag | rstFlag, 0, 0, false},
        {"SYN and ACK, which only upstreams send", synFlag | ackFlag, 0, 0, false},
        {"SYN with data", synFlag, 1, 1, false},
    }));
    INFO(test.what);
    CHECK(decodePacket(datagram(test.flags, test.dataBytes, test.statedBytes)).has_value()
          == test.valid);
}

// Guards against reads past the end of truncated datagrams.
TEST_CASE("a truncated packet is refused at every length", "[PacketCodec]")
{
    const auto whole = datagram(ackFlag, 20, 20);
    for (std::size_t length = 0; length < whole.size(); ++length)
        CHECK_FALSE(decodePacket(std::span(whole).first(length)));
}

// Guards against resets that callers ignore: swapped endpoints or an unrelated sequence number.
TEST_CASE("a reset goes back to the caller", "[PacketCodec]")
{
    const auto open = decodePacket(datagram(ackFlag, 0, 0));
    REQUIRE(open);
    const ResetBytes reset = encodeReset(*open);
    const auto decoded = decodePacket(reset);
    REQUIRE(decoded);
    CHECK(decoded->rst);
    CHECK(decoded->caller == open->route);
    CHECK(decoded->route == open->caller);
    CHECK(decoded->sequence == open->acknowledged);
    CHECK(decoded->dataBytes == 0);
}

// Guards against changes to other bytes of the packet.
TEST_CASE("writing tag and upstream id changes only those", "[PacketCodec]")
{
    auto packet = datagram(synFlag, 0, 0);
    const auto before = packet;
    writeFlowTag(packet, 0x01020304);
    CHECK(decodePacket(packet)->flowTag == 0x01020304);
    writeFlowTag(packet, 0xa1b2c3d4);
    CHECK(packet == before);
    std::array<std::byte, upstreamIdBytes> prefix{};
    writeUpstreamId(prefix, 0x7f3a91c2);
    CHECK(prefix.back() == std::byte{0xc2});
    CHECK(prefix.at(4) == std::byte{0x7f});
    CHECK(prefix.front() == std::byte{0});
}
