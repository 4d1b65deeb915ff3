#pragma once

#include "ejection/OutcomeReport.h"
#include "wire/Bytes.h"

#include <cstddef>
#include <optional>
#include <span>

namespace bulrushgap::balance {

/** \brief Encodes the exchange of reports as FlatBuffers; see view.fbs.
 *
 * Decoders return nothing if a message is malformed, is of another kind or has too many reports.
 */
[[nodiscard]] Bytes encodeOutcomeRequest(const OutcomeRequest &request);
[[nodiscard]] std::optional<OutcomeRequest>
decodeOutcomeRequest(std::span<const std::byte> message);

[[nodiscard]] Bytes encodeOutcomeReply(const OutcomeReports &reports);
[[nodiscard]] std::optional<OutcomeReports> decodeOutcomeReply(std::span<const std::byte> message);

} // namespace bulrushgap::balance
