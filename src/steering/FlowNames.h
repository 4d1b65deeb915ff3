#pragma once

#include "steering/FlowPacket.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap::balance {

/** \returns the flow's identifier in log lines, "caller:port>route:port". */
[[nodiscard]] std::string flowName(const FlowPacket &packet);

/** \returns the request id in the first datagram of a request, or an empty string. */
[[nodiscard]] std::string_view findRequestId(std::span<const std::byte> datagram);

} // namespace bulrushgap::balance
