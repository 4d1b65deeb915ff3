#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace bulrushgap {

using Bytes = std::vector<std::byte>;

/** \brief Largest CoAP message in bytes; fits an Ethernet frame with PROXY and relay headers. */
constexpr std::size_t maximalMessageSize = 1280;

/** \returns the bytes of \a text. */
[[nodiscard]] inline std::span<const std::byte> bytesOf(std::string_view text)
{
    return std::as_bytes(std::span(text.data(), text.size()));
}

/** \returns the characters of \a bytes. */
[[nodiscard]] inline std::string_view textOf(std::span<const std::byte> bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

/** \brief Appends the low \a size bytes of \a value in big-endian order. */
inline void appendBigEndian(Bytes &target, std::uint64_t value, std::size_t size)
{
    for (std::size_t i = size; i > 0; --i)
        target.push_back(static_cast<std::byte>((value >> (8 * (i - 1))) & 0xffU));
}

/** \returns the unsigned integer that \a source holds in big-endian order. */
[[nodiscard]] inline std::uint64_t readBigEndian(std::span<const std::byte> source)
{
    std::uint64_t value = 0;
    for (const std::byte byte : source)
        value = (value << 8) | std::to_integer<std::uint64_t>(byte);
    return value;
}

} // namespace bulrushgap
