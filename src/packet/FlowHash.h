#pragma once

#include "base/KeyedHash.h"
#include "packet/Packet.h"

#include <cstdint>

namespace bulrushgap {

/** \returns the hash that determines the placement of the flow; identical on all instances with the
 * same key. */
[[nodiscard]] inline std::uint64_t flowHash(const FlowKey &flow, const KeyedHash &hash)
{
    constexpr int portBits = 16;
    const auto pack = [](Endpoint endpoint) {
        return (std::uint64_t{endpoint.address} << portBits) | endpoint.port;
    };
    return hash(pack(flow.caller), pack(flow.service));
}

} // namespace bulrushgap
