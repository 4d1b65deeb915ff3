#include "peer/RelayCodec.h"

#include "peer/peer_generated.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace bulrushgap {

namespace internal {

constexpr std::byte relayMagic{0xb2}; // The first byte of a PROXY header is 0x0d.
constexpr std::size_t prefixSize = 2;
constexpr std::size_t headerLimit = 255;

std::optional<RelayHeader> readRelayHeader(std::span<const std::byte> bytes)
{
    // FlatBuffers reads 64-bit fields in place, which needs an aligned copy.
    alignas(8) std::array<std::uint8_t, headerLimit + 1> aligned{};
    std::ranges::copy(std::span(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size()),
                      aligned.begin());
    flatbuffers::Verifier verifier(aligned.data(), bytes.size());
    if (!verifier.VerifyBuffer<peerwire::RelayHeader>(nullptr))
        return std::nullopt;
    const auto &wire = *flatbuffers::GetRoot<peerwire::RelayHeader>(aligned.data());
    if (wire.kind() > static_cast<std::uint8_t>(RelayKind::Issuer)
        || wire.hops() > maximalRelayHops)
        return std::nullopt;
    return RelayHeader{static_cast<RelayKind>(wire.kind()),
                       InstanceId{wire.sender()},
                       wire.senderBoot(),
                       wire.receiverBoot(),
                       wire.hops(),
                       wire.relayId()};
}

} // namespace internal

bool RelayCodec::isRelay(std::span<const std::byte> datagram)
{
    return !datagram.empty() && datagram.front() == internal::relayMagic;
}

Bytes RelayCodec::encode(const RelayHeader &header, std::span<const std::byte> payload)
{
    flatbuffers::FlatBufferBuilder builder(internal::headerLimit + 1);
    builder.Finish(peerwire::CreateRelayHeader(builder, static_cast<std::uint8_t>(header.kind),
                                               header.hops, header.sender.value, header.senderBoot,
                                               header.receiverBoot, header.relayId));
    const auto encoded = std::as_bytes(std::span(builder.GetBufferPointer(), builder.GetSize()));
    assert(encoded.size() <= internal::headerLimit);
    Bytes datagram;
    datagram.reserve(internal::prefixSize + encoded.size() + payload.size());
    datagram.push_back(internal::relayMagic);
    datagram.push_back(static_cast<std::byte>(encoded.size()));
    datagram.insert(datagram.end(), encoded.begin(), encoded.end());
    datagram.insert(datagram.end(), payload.begin(), payload.end());
    return datagram;
}

std::optional<RelayedDatagram> RelayCodec::decode(std::span<const std::byte> datagram)
{
    if (datagram.size() < internal::prefixSize || !isRelay(datagram))
        return std::nullopt;
    const auto size = std::to_integer<std::size_t>(datagram[1]);
    if (datagram.size() < internal::prefixSize + size)
        return std::nullopt;
    const auto header = internal::readRelayHeader(datagram.subspan(internal::prefixSize, size));
    if (!header)
        return std::nullopt;
    return RelayedDatagram{*header, datagram.subspan(internal::prefixSize + size)};
}

} // namespace bulrushgap
