#include "role/ViewFrame.h"

#include "service/FrameReader.h"

#include <boost/endian/conversion.hpp>

#include <array>

namespace bulrushgap {

std::optional<ViewFrame> ViewFrame::parse(std::span<const std::byte> frame)
{
    constexpr std::size_t idSize = sizeof(std::uint32_t);
    if (frame.size() < idSize)
        return std::nullopt;
    const auto *idBytes = reinterpret_cast<const unsigned char *>(frame.data());
    return ViewFrame{boost::endian::load_little_u32(idBytes), frame.subspan(idSize)};
}

Bytes ViewFrame::toBytes() const
{
    std::array<unsigned char, sizeof(std::uint32_t)> idBytes{};
    boost::endian::store_little_u32(idBytes.data(), this->requestId);
    const auto encodedId = std::as_bytes(std::span(idBytes));
    Bytes content(encodedId.begin(), encodedId.end());
    content.insert(content.end(), this->message.begin(), this->message.end());
    return FrameReader::encodeFrame(content);
}

} // namespace bulrushgap
