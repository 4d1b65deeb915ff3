#pragma once

#include "steering/FlowPacket.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap::balance {

/** \returns the flow's id in log lines, "caller:port>route:port". */
[[nodiscard]] std::string flowName(const FlowPacket &packet);

/** \returns the request id in a datagram that begins a request, or an empty text. */
[[nodiscard]] std::string_view requestIdIn(std::span<const std::byte> datagram);

} // namespace bulrushgap::balance
