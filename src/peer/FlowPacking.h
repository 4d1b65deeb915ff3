#pragma once

#include "message/PeerMessage.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace bulrushgap::internal {

/** \brief Size of one packed flow: bucket (12 bits), fingerprint (40), upstream (16). */
constexpr std::size_t packedFlowSize = 9;

/** \returns the records packed back to back, little endian. */
[[nodiscard]] std::vector<std::uint8_t> packFlows(std::span<const FlowRecord> flows);

/** \returns the records, or nothing if the size or unused bits are wrong. */
[[nodiscard]] std::optional<std::vector<FlowRecord>>
unpackFlows(std::span<const std::uint8_t> packed);

} // namespace bulrushgap::internal
