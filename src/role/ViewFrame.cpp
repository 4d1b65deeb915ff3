#include "role/ViewFrame.h"

#include "service/FrameReader.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <limits>

namespace bulrushgap {

namespace internal {

constexpr std::size_t numberSize = sizeof(std::uint32_t);
constexpr std::size_t headerSize = 3 * numberSize; // Request id, age, grace period.

using HeaderBytes = std::array<unsigned char, headerSize>;

/** \returns a duration in whole milliseconds, at most the greatest number of the header. */
std::uint32_t toHeaderNumber(Duration duration)
{
    constexpr std::int64_t greatest = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(toMilliseconds(duration), 0, greatest));
}

} // namespace internal

std::optional<ViewFrame> ViewFrame::parse(std::span<const std::byte> frame)
{
    using std::chrono::milliseconds;
    if (frame.size() < internal::headerSize)
        return std::nullopt;
    const auto *header = reinterpret_cast<const unsigned char *>(frame.data());
    const auto numberAt = [header](std::size_t index) {
        return boost::endian::load_little_u32(header + index * internal::numberSize);
    };
    return ViewFrame{numberAt(0),
                     {milliseconds(numberAt(1)), milliseconds(numberAt(2))},
                     frame.subspan(internal::headerSize)};
}

Bytes ViewFrame::toBytes() const
{
    internal::HeaderBytes header{};
    const auto store = [&header](std::size_t index, std::uint32_t number) {
        boost::endian::store_little_u32(header.data() + index * internal::numberSize, number);
    };
    store(0, this->requestId);
    store(1, internal::toHeaderNumber(this->freshness.age));
    store(2, internal::toHeaderNumber(this->freshness.registryGrace));
    const auto encodedHeader = std::as_bytes(std::span(header));
    Bytes content(encodedHeader.begin(), encodedHeader.end());
    content.insert(content.end(), this->message.begin(), this->message.end());
    return FrameReader::encodeFrame(content);
}

} // namespace bulrushgap
