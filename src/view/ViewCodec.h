#pragma once

#include "view/ViewObject.h"
#include "view/ViewRequest.h"
#include "wire/Bytes.h"

#include <cstddef>
#include <optional>
#include <span>

namespace bulrushgap::balance {

/** \brief Maximum size of a message between instances that read each other's view. */
constexpr std::size_t maxViewMessageBytes = 16UL * 1024 * 1024;

/** \brief Encodes messages between instances as FlatBuffers; see view.fbs.
 *
 * Replies may be compressed when they are decoded; see ReplyCompression.
 *
 * Decoders return nothing if a message is malformed. Encoders omit malformed objects from lists and
 * send them as removed in watches.
 */
[[nodiscard]] Bytes encodeRequest(const ViewRequest &request);
[[nodiscard]] std::optional<ViewRequest> decodeRequest(std::span<const std::byte> message);

[[nodiscard]] Bytes encodeList(ViewKind kind, const ViewList &list);
[[nodiscard]] std::optional<ViewList> decodeList(ViewKind kind, std::span<const std::byte> message);

[[nodiscard]] Bytes encodeEvents(ViewKind kind, const ViewEvents &events);
[[nodiscard]] std::optional<ViewEvents> decodeEvents(ViewKind kind,
                                                     std::span<const std::byte> message);

} // namespace bulrushgap::balance
