#include "wire/ProxyHeader.h"

#include <catch2/catch.hpp>

#include <string>

using namespace bulrushgap;

namespace {

Bytes exampleHeader()
{
    Bytes bytes;
    ProxyHeader{{0x7f000001, 40000}, {0x0a010203, 5683}}.appendTo(bytes);
    return bytes;
}

} // namespace

// Guards against swapped addresses, which would send every packet to the wrong endpoint.
TEST_CASE("a PROXY header round-trips with and without TLVs", "[ProxyHeader]")
{
    Bytes bytes = exampleHeader();
    REQUIRE(bytes.size() == ProxyHeader::encodedSize);
    const bool withTlv = GENERATE(false, true);
    if (withTlv) {
        bytes[15] = std::byte{12 + 4};
        for (const int value : {0x04, 0, 1, 0x55})
            bytes.push_back(static_cast<std::byte>(value));
    }
    bytes.push_back(std::byte{0x42});
    const auto decoded = ProxyHeader::decode(bytes);
    REQUIRE(decoded);
    CHECK(decoded->header == ProxyHeader{{0x7f000001, 40000}, {0x0a010203, 5683}});
    REQUIRE(decoded->payload.size() == 1);
    CHECK(decoded->payload.front() == std::byte{0x42});
}

// Guards against reading the bytes of unsupported headers as addresses.
TEST_CASE("unsupported or malformed PROXY headers are rejected", "[ProxyHeader]")
{
    const auto [name, position, value] = GENERATE(table<std::string, std::size_t, int>({
        {"signature", 0, 0x0e},
        {"version", 12, 0x11},
        {"command LOCAL", 12, 0x20},
        {"TCP over IPv4", 13, 0x11},
        {"DGRAM over IPv6", 13, 0x22},
        {"length below the addresses", 15, 11},
        {"length beyond the datagram", 15, 13},
        {"length far beyond the datagram", 14, 1},
    }));
    INFO(name);
    Bytes bytes = exampleHeader();
    bytes[position] = static_cast<std::byte>(value);
    CHECK_FALSE(ProxyHeader::decode(bytes));
}

TEST_CASE("truncated PROXY headers and TLVs are rejected", "[ProxyHeader]")
{
    const Bytes bytes = exampleHeader();
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(ProxyHeader::decode(std::span(bytes).first(size)));
    Bytes tlv = bytes;
    tlv[15] = std::byte{12 + 3};
    for (const int value : {0x04, 0, 1})
        tlv.push_back(static_cast<std::byte>(value));
    CHECK_FALSE(ProxyHeader::decode(tlv));
}
