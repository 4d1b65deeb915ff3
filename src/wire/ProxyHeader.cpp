#include "wire/ProxyHeader.h"

#include <algorithm>
#include <array>

namespace bulrushgap {

namespace internal {

constexpr std::array<unsigned char, 12> proxySignature{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d,
                                                       0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a};
constexpr std::byte versionAndCommand{0x21};
constexpr std::byte familyAndProtocol{0x12};
constexpr std::size_t fixedHeaderSize = 16;
constexpr std::size_t addressBlockSize = 12;
constexpr std::size_t tlvHeaderSize = 3;

bool hasProxySignature(std::span<const std::byte> datagram)
{
    return std::ranges::equal(datagram.first(proxySignature.size()),
                              std::as_bytes(std::span(proxySignature)));
}

bool areTlvsWellFormed(std::span<const std::byte> tlvs)
{
    while (!tlvs.empty()) {
        if (tlvs.size() < tlvHeaderSize)
            return false;
        const std::size_t size = tlvHeaderSize + readBigEndian(tlvs.subspan(1, 2));
        if (size > tlvs.size())
            return false;
        tlvs = tlvs.subspan(size);
    }
    return true;
}

void appendAddresses(Bytes &target, const ProxyHeader &header)
{
    appendBigEndian(target, header.source.address, 4);
    appendBigEndian(target, header.destination.address, 4);
    appendBigEndian(target, header.source.port, 2);
    appendBigEndian(target, header.destination.port, 2);
}

ProxyHeader readAddresses(std::span<const std::byte> block)
{
    ProxyHeader header;
    header.source.address = static_cast<std::uint32_t>(readBigEndian(block.subspan(0, 4)));
    header.destination.address = static_cast<std::uint32_t>(readBigEndian(block.subspan(4, 4)));
    header.source.port = static_cast<std::uint16_t>(readBigEndian(block.subspan(8, 2)));
    header.destination.port = static_cast<std::uint16_t>(readBigEndian(block.subspan(10, 2)));
    return header;
}

} // namespace internal

void ProxyHeader::appendTo(Bytes &target) const
{
    const auto signature = std::as_bytes(std::span(internal::proxySignature));
    target.insert(target.end(), signature.begin(), signature.end());
    target.push_back(internal::versionAndCommand);
    target.push_back(internal::familyAndProtocol);
    appendBigEndian(target, internal::addressBlockSize, 2);
    internal::appendAddresses(target, *this);
}

std::optional<ProxiedDatagram> ProxyHeader::decode(std::span<const std::byte> datagram)
{
    if (datagram.size() < encodedSize || !internal::hasProxySignature(datagram))
        return std::nullopt;
    if (datagram[12] != internal::versionAndCommand || datagram[13] != internal::familyAndProtocol)
        return std::nullopt;
    const std::size_t length = readBigEndian(datagram.subspan(14, 2));
    if (length < internal::addressBlockSize || internal::fixedHeaderSize + length > datagram.size())
        return std::nullopt;
    const auto block = datagram.subspan(internal::fixedHeaderSize, length);
    if (!internal::areTlvsWellFormed(block.subspan(internal::addressBlockSize)))
        return std::nullopt;
    return ProxiedDatagram{internal::readAddresses(block),
                           datagram.subspan(internal::fixedHeaderSize + length)};
}

} // namespace bulrushgap
