#include "role/ViewFrame.h"

#include "service/FrameReader.h"

#include <boost/endian/conversion.hpp>

#include <array>

namespace bulrushgap {

std::optional<ViewFrame> ViewFrame::parse(std::span<const std::byte> frame)
{
    constexpr std::size_t numberBytes = sizeof(std::uint32_t);
    if (frame.size() < numberBytes)
        return std::nullopt;
    const auto *number = reinterpret_cast<const unsigned char *>(frame.data());
    return ViewFrame{boost::endian::load_little_u32(number), frame.subspan(numberBytes)};
}

Bytes ViewFrame::toBytes() const
{
    std::array<unsigned char, sizeof(std::uint32_t)> number{};
    boost::endian::store_little_u32(number.data(), this->request);
    const auto numberBytes = std::as_bytes(std::span(number));
    Bytes content(numberBytes.begin(), numberBytes.end());
    content.insert(content.end(), this->message.begin(), this->message.end());
    return FrameReader::frame(content);
}

} // namespace bulrushgap
