#pragma once

#include "wire/Bytes.h"

#include <cstdint>
#include <optional>
#include <span>

namespace bulrushgap {

/** \brief A message on a connection between instances: the number of its request, then the message.
 */
struct ViewFrame
{
    std::uint32_t request = 0;
    std::span<const std::byte> message;

    /** \returns the parts of a frame without its length, or nothing if it is too short. */
    [[nodiscard]] static std::optional<ViewFrame> parse(std::span<const std::byte> frame);

    /** \returns the bytes of the frame with its length in front. */
    [[nodiscard]] Bytes toBytes() const;
};

} // namespace bulrushgap
