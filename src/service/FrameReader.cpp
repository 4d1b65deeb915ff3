#include "service/FrameReader.h"

namespace bulrushgap {

void FrameReader::append(std::span<const std::byte> bytes)
{
    this->buffer.erase(this->buffer.begin(),
                       this->buffer.begin() + static_cast<std::ptrdiff_t>(this->consumed));
    this->consumed = 0;
    this->buffer.insert(this->buffer.end(), bytes.begin(), bytes.end());
}

std::optional<Bytes> FrameReader::next()
{
    const auto unread = std::span<const std::byte>(this->buffer).subspan(this->consumed);
    if (this->limitExceeded || unread.size() < lengthPrefixSize)
        return std::nullopt;
    std::size_t size = 0;
    for (std::size_t i = 0; i < lengthPrefixSize; ++i)
        size |= std::to_integer<std::size_t>(unread[i]) << (8 * i);
    if (size > this->maxMessageSize) {
        this->limitExceeded = true;
        return std::nullopt;
    }
    if (unread.size() < lengthPrefixSize + size)
        return std::nullopt;
    this->consumed += lengthPrefixSize + size;
    const auto message = unread.subspan(lengthPrefixSize, size);
    return Bytes(message.begin(), message.end());
}

Bytes FrameReader::encodeFrame(std::span<const std::byte> message)
{
    Bytes frame;
    frame.reserve(lengthPrefixSize + message.size());
    for (std::size_t i = 0; i < lengthPrefixSize; ++i)
        frame.push_back(static_cast<std::byte>((message.size() >> (8 * i)) & 0xffU));
    frame.insert(frame.end(), message.begin(), message.end());
    return frame;
}

} // namespace bulrushgap
