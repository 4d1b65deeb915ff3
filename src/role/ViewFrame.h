#pragma once

#include "store/ObjectStore.h"
#include "wire/Bytes.h"

#include <cstdint>
#include <optional>
#include <span>

namespace bulrushgap {

/** \brief Frame between instances that read each other's view: a header, then the message. */
struct ViewFrame
{
    std::uint32_t requestId = 0; //!< Chosen by the client; copied into the response.
    ReplyFreshness freshness;    //!< Zero in requests; sent in whole milliseconds.
    std::span<const std::byte> message;

    /** \returns the frame whose content, without length prefix, is \a frame; nothing if too short.
     */
    [[nodiscard]] static std::optional<ViewFrame> parse(std::span<const std::byte> frame);

    /** \returns the encoded frame with its length prefix. */
    [[nodiscard]] Bytes toBytes() const;
};

} // namespace bulrushgap
