#pragma once

#include "base/Reasons.h"
#include "base/Verdict.h"
#include "packet/Packet.h"
#include "wire/Bytes.h"
#include "wire/CoapParser.h"
#include "wire/CoapWriter.h"

#include <cstdint>
#include <optional>
#include <span>

namespace bulrushgap {

enum class Direction : std::uint8_t { ToUpstream, ToCaller };

/** \brief Converts between datagrams and the packets that the core handles.
 *
 * A reply to a confirmable message is piggybacked on the acknowledgement; any other reply is
 * non-confirmable and takes the next message ID of this codec.
 */
class CoapCodec
{
public:
    /** \returns the packet, or nothing if the PROXY header or message is malformed or unsupported.
     *
     * The spans of the packet point into \a datagram.
     */
    [[nodiscard]] std::optional<Packet> decode(std::span<const std::byte> datagram);

    /** \returns a copy of \a message with the given token and, if set, the given Deadline option.
     *
     * \a message must be well-formed, for example Packet::message.
     */
    [[nodiscard]] static Bytes withToken(std::span<const std::byte> message, const Token &token,
                                         std::optional<Duration> deadline = std::nullopt);

    /** \returns 5.03 "not-run REASON" or 5.04 "may-have-run REASON"; \a verdict is not Answered. */
    [[nodiscard]] Bytes refusal(const Packet &request, Verdict verdict, RefusalReason reason);

    /** \returns 4.01 with the ticket (1 to 40 bytes) in an Echo option. */
    [[nodiscard]] Bytes ticketChallenge(const Packet &request, std::span<const std::byte> ticket);

    /** \returns a Reset message with the message ID of \a packet. */
    [[nodiscard]] static Bytes reset(const Packet &packet);

    /** \returns \a message preceded by a PROXY header. */
    [[nodiscard]] static Bytes datagram(Direction direction, const FlowKey &flow,
                                        std::span<const std::byte> message);

private:
    [[nodiscard]] CoapWriter reply(const Packet &request, std::uint8_t code);

    CoapParser parser;
    std::uint16_t nextId = 0;
};

} // namespace bulrushgap
