#pragma once

#include "base/Endpoint.h"

#include <cstdint>

namespace bulrushgap::balance {

/** \brief Header of a caller's packet; the payload is never inspected. */
struct FlowPacket
{
    Endpoint caller;
    Endpoint route; //!< Route address that the caller connects to.
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged
        = 0;                   //!< Acknowledgment number; in a SYN, the number of earlier copies.
    std::uint32_t flowTag = 0; //!< Tag of the flow's upstream; 0 in a SYN.
    std::uint16_t dataBytes = 0;
    bool syn = false;
    bool fin = false;
    bool rst = false;
};

} // namespace bulrushgap::balance
