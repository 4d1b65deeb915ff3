#pragma once

#include <cstddef>

namespace bulrushgap::internal {

/** \brief Longest name or address text in bytes. */
constexpr std::size_t nameLimit = 255;

/** \brief Limits of lists; a frame of maximal size cannot reach the last one with real elements,
 * but offsets that share one element can.
 */
constexpr std::size_t domainLimit = 256;
constexpr std::size_t instanceLimit = 4096;
constexpr std::size_t serviceLimit = 4096;
constexpr std::size_t upstreamLimit = 16384;
constexpr std::size_t elementLimit = 65536;

/** \brief Bucket groups of a service; Union::groups holds numbers below. */
constexpr std::size_t groupLimit = 64;

} // namespace bulrushgap::internal
