#pragma once

#include "engine/Action.h"
#include "packet/Packet.h"

#include <cstdint>
#include <cstring>

namespace bulrushgap::test {

/** \brief Application message of the tests, with the fields that a real wire format contains. */
struct SimulatedMessage
{
    PacketKind kind = PacketKind::FlowData;
    std::uint64_t id = 0; //!< Id of the request or flow.
    Token token;
    bool idempotent = false;
    bool opens = false;      //!< First packet of a flow.
    bool mayHaveRun = false; //!< A relayed refusal whose request may have run.
    bool warm = true;
    std::uint32_t part = 0;
    bool lastPart = true;
    Duration deadline{0};
    std::uint8_t ticketSize = 0;
    std::array<std::byte, 40> ticket{};

    [[nodiscard]] MessageBytes encode() const
    {
        MessageBytes bytes(sizeof(SimulatedMessage));
        std::memcpy(bytes.data(), this, sizeof(SimulatedMessage));
        return bytes;
    }
    [[nodiscard]] static SimulatedMessage decode(std::span<const std::byte> bytes)
    {
        SimulatedMessage message;
        std::memcpy(&message, bytes.data(), sizeof(SimulatedMessage));
        return message;
    }

    /** \returns the packet as passed to the engine; refers to \a bytes and to this message. */
    [[nodiscard]] Packet packet(const FlowKey &flow, std::span<const std::byte> bytes) const
    {
        Packet packet;
        packet.flow = flow;
        packet.kind = this->kind;
        packet.token = this->token;
        packet.idempotent = this->idempotent;
        if (this->deadline.count() > 0)
            packet.deadline = this->deadline;
        packet.ticket = std::span(this->ticket).first(this->ticketSize);
        if (this->kind == PacketKind::Answer || this->kind == PacketKind::Shed)
            packet.load = LoadReport{.warm = this->warm};
        packet.serverError = this->mayHaveRun;
        packet.part = this->part;
        packet.lastPart = this->lastPart;
        packet.message = bytes;
        return packet;
    }
};

} // namespace bulrushgap::test
