#include "wire/CoapCodec.h"

#include "wire/CoapWriter.h"
#include "wire/ProxyHeader.h"

#include <coap3/coap.h>

#include <cassert>
#include <string>

namespace bulrushgap {

namespace internal {

constexpr std::size_t headerSize = 4;
constexpr std::size_t maximalTicketSize = 40;
constexpr std::byte payloadMarker{0xff};
constexpr std::uint32_t observeRegister = 0;
constexpr std::uint32_t observeDeregister = 1;
/** Max-Age of an overload response: the time after which the caller may retry. */
constexpr std::uint64_t overloadMaxAgeSeconds = 1;

CoapType typeOf(std::span<const std::byte> message)
{
    return static_cast<CoapType>((std::to_integer<unsigned>(message[0]) >> 4) & 3U);
}

std::uint16_t idOf(std::span<const std::byte> message)
{
    return static_cast<std::uint16_t>(readBigEndian(message.subspan(2, 2)));
}

PacketKind responseKind(const CoapMessage &message)
{
    if (message.observe)
        return PacketKind::FeedItem;
    return message.code == coapcode::serviceUnavailable ? PacketKind::Shed : PacketKind::Answer;
}

PacketKind requestKind(const CoapMessage &message)
{
    if (message.cancel)
        return PacketKind::Cancel;
    if (message.code == coapcode::get && message.observe == observeRegister)
        return PacketKind::FlowData;
    if (message.code == coapcode::get && message.observe == observeDeregister)
        return PacketKind::FlowClose;
    return PacketKind::Request;
}

PacketKind kindOf(const CoapMessage &message)
{
    if (message.isEmpty())
        return PacketKind::FlowData;
    return message.isRequest() ? requestKind(message) : responseKind(message);
}

void fillFromCaller(Packet &packet, const ProxyHeader &header, const CoapMessage &message)
{
    packet.flow = FlowKey{header.source, header.destination};
    packet.idempotent = packet.kind == PacketKind::Request && message.code != coapcode::post;
    packet.deadline = message.deadline;
    packet.ticket = message.echo;
}

void fillFromUpstream(Packet &packet, const ProxyHeader &header, const CoapMessage &message)
{
    packet.flow = FlowKey{header.destination, header.source};
    packet.load = message.load;
    if (packet.kind != PacketKind::Answer)
        return;
    packet.serverError = message.codeClass() == 5;
    if (message.block) {
        packet.part = message.block->number;
        packet.lastPart = !message.block->more;
    }
}

bool isOverloadReason(RefusalReason reason)
{
    return reason == RefusalReason::QueueFull || reason == RefusalReason::Overloaded
           || reason == RefusalReason::RetryBudget;
}

/** \brief Copies the options before the payload and sets the Deadline option to \a deadline.
 *
 * \returns the bytes after the options: the payload marker and the payload, if any.
 */
std::span<const std::byte> copyOptions(CoapWriter &writer, std::span<const std::byte> source,
                                       Duration deadline)
{
    using std::chrono::milliseconds;
    const auto millisecondCount = std::chrono::duration_cast<milliseconds>(deadline).count();
    const auto remaining = static_cast<std::uint64_t>(std::max<std::int64_t>(millisecondCount, 0));
    unsigned number = 0;
    bool deadlineWritten = false;
    const auto writeDeadline = [&] {
        if (!deadlineWritten)
            writer.uintOption(coapoption::deadline, remaining);
        deadlineWritten = true;
    };
    while (!source.empty() && source.front() != payloadMarker) {
        coap_option_t option{};
        const std::size_t size = coap_opt_parse(reinterpret_cast<const coap_opt_t *>(source.data()),
                                                source.size(), &option);
        if (size == 0)
            break;
        number += option.delta;
        if (number >= coapoption::deadline)
            writeDeadline();
        if (number != coapoption::deadline)
            writer.option(static_cast<std::uint16_t>(number),
                          std::as_bytes(std::span(option.value, option.length)));
        source = source.subspan(size);
    }
    writeDeadline();
    return source;
}

} // namespace internal

std::optional<Packet> CoapCodec::decode(std::span<const std::byte> datagram)
{
    const auto proxyDatagram = ProxyHeader::decode(datagram);
    if (!proxyDatagram)
        return std::nullopt;
    const auto message = this->parser.parse(proxyDatagram->payload);
    if (!message)
        return std::nullopt;
    Packet packet;
    packet.kind = internal::kindOf(*message);
    packet.token = message->token;
    packet.message = proxyDatagram->payload;
    if (message->isResponse())
        internal::fillFromUpstream(packet, proxyDatagram->header, *message);
    else
        internal::fillFromCaller(packet, proxyDatagram->header, *message);
    return packet;
}

Bytes CoapCodec::withToken(std::span<const std::byte> message, const Token &token,
                           std::optional<Duration> deadline)
{
    assert(message.size() >= internal::headerSize);
    const std::size_t oldTokenSize = std::to_integer<std::size_t>(message[0]) & 0xfU;
    const auto code = std::to_integer<std::uint8_t>(message[1]);
    CoapWriter writer(internal::typeOf(message), code, internal::idOf(message), token);
    auto rest = message.subspan(internal::headerSize + oldTokenSize);
    if (deadline)
        rest = internal::copyOptions(writer, rest, *deadline);
    Bytes result = writer.take();
    result.insert(result.end(), rest.begin(), rest.end());
    return result;
}

Bytes CoapCodec::refusal(const Packet &request, Verdict verdict, RefusalReason reason)
{
    assert(verdict != Verdict::Answered);
    const std::uint8_t code
        = verdict == Verdict::NotRun ? coapcode::serviceUnavailable : coapcode::gatewayTimeout;
    CoapWriter writer = this->reply(request, code);
    if (internal::isOverloadReason(reason))
        writer.uintOption(coapoption::maxAge, internal::overloadMaxAgeSeconds);
    const std::string diagnostic
        = std::string(toString(verdict)) + ' ' + std::string(toString(reason));
    return writer.payload(bytesOf(diagnostic)).take();
}

Bytes CoapCodec::ticketChallenge(const Packet &request, std::span<const std::byte> ticket)
{
    assert(!ticket.empty() && ticket.size() <= internal::maximalTicketSize);
    return this->reply(request, coapcode::unauthorized).option(coapoption::echo, ticket).take();
}

Bytes CoapCodec::reset(const Packet &packet)
{
    return CoapWriter(CoapType::Reset, coapcode::empty, internal::idOf(packet.message), Token{})
        .take();
}

Bytes CoapCodec::datagram(Direction direction, const FlowKey &flow,
                          std::span<const std::byte> message)
{
    const ProxyHeader header = direction == Direction::ToUpstream
                                   ? ProxyHeader{flow.caller, flow.service}
                                   : ProxyHeader{flow.service, flow.caller};
    Bytes result;
    result.reserve(ProxyHeader::encodedSize + message.size());
    header.appendTo(result);
    result.insert(result.end(), message.begin(), message.end());
    return result;
}

CoapWriter CoapCodec::reply(const Packet &request, std::uint8_t code)
{
    if (internal::typeOf(request.message) == CoapType::Confirmable)
        return {CoapType::Acknowledgement, code, internal::idOf(request.message), request.token};
    return {CoapType::NonConfirmable, code, this->nextId++, request.token};
}

} // namespace bulrushgap
