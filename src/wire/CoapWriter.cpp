#include "wire/CoapWriter.h"

#include <coap3/coap.h>

#include <cassert>

namespace bulrushgap {

namespace internal {

constexpr std::uint8_t coapVersion = 1;
constexpr std::byte payloadMarker{0xff};
constexpr std::uint64_t blockSizeExponent = 6; // Blocks of up to 2^(6 + 4) = 1024 bytes.

} // namespace internal

CoapWriter::CoapWriter(CoapType type, std::uint8_t code, std::uint16_t id, const Token &token)
{
    const auto firstByte = static_cast<unsigned>(internal::coapVersion << 6)
                           | static_cast<unsigned>(static_cast<unsigned>(type) << 4) | token.size;
    appendBigEndian(this->bytes, firstByte, 1);
    appendBigEndian(this->bytes, code, 1);
    appendBigEndian(this->bytes, id, 2);
    const auto view = token.view();
    this->bytes.insert(this->bytes.end(), view.begin(), view.end());
}

CoapWriter &CoapWriter::option(std::uint16_t number, std::span<const std::byte> value)
{
    assert(number >= this->lastOption);
    const auto delta = static_cast<std::uint16_t>(number - this->lastOption);
    const std::size_t start = this->bytes.size();
    this->bytes.resize(start + coap_opt_encode_size(delta, value.size()));
    [[maybe_unused]] const std::size_t written = coap_opt_encode(
        reinterpret_cast<coap_opt_t *>(this->bytes.data() + start), this->bytes.size() - start,
        delta, reinterpret_cast<const std::uint8_t *>(value.data()), value.size());
    assert(written == this->bytes.size() - start);
    this->lastOption = number;
    return *this;
}

CoapWriter &CoapWriter::uintOption(std::uint16_t number, std::uint64_t value)
{
    std::size_t size = 0;
    while (size < sizeof(value) && (value >> (8 * size)) != 0)
        ++size;
    Bytes encoded;
    appendBigEndian(encoded, value, size);
    return this->option(number, encoded);
}

CoapWriter &CoapWriter::blockOption(const CoapBlock &block)
{
    const std::uint64_t more = block.more ? 8U : 0U;
    return this->uintOption(coapoption::qBlock2, (std::uint64_t{block.number} << 4) | more
                                                     | internal::blockSizeExponent);
}

CoapWriter &CoapWriter::loadOption(const LoadReport &report)
{
    Bytes value;
    appendBigEndian(value, report.inFlight, 2);
    appendBigEndian(value, report.connections, 2);
    appendBigEndian(value, report.warm ? 1 : 0, 1);
    return this->option(coapoption::loadReport, value);
}

CoapWriter &CoapWriter::payload(std::span<const std::byte> value)
{
    if (value.empty())
        return *this;
    this->bytes.push_back(internal::payloadMarker);
    this->bytes.insert(this->bytes.end(), value.begin(), value.end());
    return *this;
}

} // namespace bulrushgap
