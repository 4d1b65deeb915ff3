#pragma once

#include <cstdint>

namespace bulrushgap::balance {

/** \returns whether sequence number \a first follows \a second, modulo 2^32. */
[[nodiscard]] constexpr bool isAfter(std::uint32_t first, std::uint32_t second)
{
    return static_cast<std::int32_t>(first - second) > 0;
}

} // namespace bulrushgap::balance
