#include "simulation/WirePacket.h"

#include "base/KeyedHash.h"

#include <algorithm>

namespace bulrushgap::simulation {

namespace internal {

constexpr std::size_t headerBytes = 31;
constexpr std::uint64_t sealKey = 0x7365'616c'0000'0001;

constexpr unsigned rstFlag = 1;
constexpr unsigned synFlag = 2;
constexpr unsigned ackFlag = 4;
constexpr unsigned finFlag = 128;

/** \brief Reads big-endian numbers one after the other. */
class Reader
{
public:
    explicit Reader(std::span<const std::byte> bytes)
        : rest(bytes)
    {}

    std::uint32_t next(std::size_t size)
    {
        const auto value = static_cast<std::uint32_t>(readBigEndian(this->rest.first(size)));
        this->rest = this->rest.subspan(size);
        return value;
    }

private:
    std::span<const std::byte> rest;
};

} // namespace internal

std::uint32_t WirePacket::expectedSeal() const
{
    WirePacket plain = *this;
    plain.echo = 0;
    plain.seal = 0;
    Bytes bytes;
    appendBigEndian(bytes, plain.source.address, 4);
    appendBigEndian(bytes, plain.source.port, 2);
    appendBigEndian(bytes, plain.destination.address, 4);
    appendBigEndian(bytes, plain.destination.port, 2);
    appendBigEndian(bytes, plain.sequence, 4);
    appendBigEndian(bytes, plain.acknowledged, 4);
    appendBigEndian(bytes, (plain.syn ? 1U : 0U) | (plain.ack ? 2U : 0U) | (plain.fin ? 4U : 0U),
                    1);
    bytes.insert(bytes.end(), plain.data.begin(), plain.data.end());
    const std::uint64_t sum = KeyedHash(internal::sealKey)(textOf(bytes));
    return std::max(1U, static_cast<std::uint32_t>(sum));
}

std::size_t WirePacket::size() const
{
    return internal::headerBytes + this->data.size();
}

Bytes WirePacket::toBytes()
{
    this->seal = this->expectedSeal();
    const unsigned flags
        = (this->syn ? internal::synFlag : 0U) | (this->ack ? internal::ackFlag : 0U)
          | (this->fin ? internal::finFlag : 0U) | (this->rst ? internal::rstFlag : 0U);
    Bytes bytes;
    bytes.reserve(this->size());
    appendBigEndian(bytes, this->sequence, 4);
    appendBigEndian(bytes, this->acknowledged, 4);
    appendBigEndian(bytes, flags, 1);
    appendBigEndian(bytes, this->seal, 4);
    appendBigEndian(bytes, this->data.size(), 2);
    appendBigEndian(bytes, this->echo, 4);
    appendBigEndian(bytes, this->source.port, 2);
    appendBigEndian(bytes, this->destination.address, 4);
    appendBigEndian(bytes, this->destination.port, 2);
    appendBigEndian(bytes, this->source.address, 4);
    bytes.insert(bytes.end(), this->data.begin(), this->data.end());
    return bytes;
}

std::optional<WirePacket> WirePacket::parse(std::span<const std::byte> datagram)
{
    if (datagram.size() < internal::headerBytes)
        return std::nullopt;
    internal::Reader reader(datagram);
    WirePacket packet;
    packet.sequence = reader.next(4);
    packet.acknowledged = reader.next(4);
    const unsigned flags = reader.next(1);
    packet.seal = reader.next(4);
    const std::size_t length = reader.next(2);
    packet.echo = reader.next(4);
    packet.source.port = static_cast<std::uint16_t>(reader.next(2));
    packet.destination.address = reader.next(4);
    packet.destination.port = static_cast<std::uint16_t>(reader.next(2));
    packet.source.address = reader.next(4);
    packet.syn = (flags & internal::synFlag) != 0;
    packet.ack = (flags & internal::ackFlag) != 0;
    packet.fin = (flags & internal::finFlag) != 0;
    packet.rst = (flags & internal::rstFlag) != 0;
    const auto rest = datagram.subspan(internal::headerBytes);
    if (rest.size() != length)
        return std::nullopt;
    packet.data.assign(rest.begin(), rest.end());
    return packet;
}

} // namespace bulrushgap::simulation
