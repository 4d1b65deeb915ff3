#pragma once

#include "wire/Bytes.h"

#include <optional>
#include <span>

namespace bulrushgap::balance {

/** \brief Compresses replies between instances (Zstandard), so that a large view takes a weak link
 * for less time.
 *
 * \returns the compressed reply, or nothing if it is so short that it is sent as it is */
[[nodiscard]] std::optional<Bytes> compressReply(std::span<const std::byte> reply);

/** \returns whether a message is a compressed reply; no FlatBuffers message begins like one. */
[[nodiscard]] bool isCompressedReply(std::span<const std::byte> message);

/** \returns the reply, or nothing if it is malformed or longer than maxViewMessageBytes. */
[[nodiscard]] std::optional<Bytes> decompressReply(std::span<const std::byte> message);

} // namespace bulrushgap::balance
