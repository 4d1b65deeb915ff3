#include "wire/CoapParser.h"

#include <coap3/coap.h>

#include <new>

namespace bulrushgap {

namespace internal {

constexpr std::size_t headerSize = 4;
constexpr std::size_t loadReportSize = 5;
constexpr std::size_t maximalDeadlineSize = 4;
constexpr std::size_t maximalBlockOptionSize = 3;
constexpr std::uint64_t reservedBlockSizeExponent = 7;

/** \brief Disables libcoap logging, which prints a line to stderr for each malformed message. */
void disableLibraryLogging()
{
    coap_set_log_level(LOG_EMERG);
}

std::optional<LoadReport> readLoadReport(std::span<const std::byte> value)
{
    if (value.size() != loadReportSize)
        return std::nullopt;
    LoadReport report;
    report.inFlight = static_cast<std::uint16_t>(readBigEndian(value.subspan(0, 2)));
    report.connections = static_cast<std::uint16_t>(readBigEndian(value.subspan(2, 2)));
    report.warm = (readBigEndian(value.subspan(4, 1)) & 1U) != 0;
    return report;
}

/** \brief Stores one option. \returns false if a critical option is malformed. */
bool storeOption(CoapMessage &message, std::uint16_t number, std::span<const std::byte> value)
{
    switch (number) {
    case coapoption::observe:
        message.observe = static_cast<std::uint32_t>(readBigEndian(value));
        break;
    case coapoption::uriPath:
        message.path = textOf(value);
        break;
    case coapoption::uriQuery:
        message.refresh = message.refresh || textOf(value) == "refresh";
        break;
    case coapoption::qBlock2: {
        const std::uint64_t block = readBigEndian(value);
        if (value.size() > maximalBlockOptionSize || (block & 7U) == reservedBlockSizeExponent)
            return false;
        message.block = CoapBlock{static_cast<std::uint32_t>(block >> 4), (block & 8U) != 0};
        break;
    }
    case coapoption::etag:
        message.etag = value;
        break;
    case coapoption::echo:
        message.echo = value;
        break;
    case coapoption::deadline:
        if (value.size() <= maximalDeadlineSize && !message.deadline)
            message.deadline = std::chrono::milliseconds(readBigEndian(value));
        break;
    case coapoption::cancel:
        message.cancel = true;
        break;
    case coapoption::loadReport:
        message.load = readLoadReport(value);
        break;
    default:
        break;
    }
    return true;
}

bool isHandled(const CoapMessage &message)
{
    if (message.isEmpty())
        return message.type == CoapType::Acknowledgement || message.type == CoapType::Reset;
    if (message.isRequest())
        return message.type == CoapType::Confirmable || message.type == CoapType::NonConfirmable;
    return message.isResponse() && message.type != CoapType::Reset;
}

} // namespace internal

void CoapParser::Deleter::operator()(coap_pdu_t *pdu) const
{
    coap_delete_pdu(pdu);
}

CoapParser::CoapParser()
    : pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, maximalMessageSize))
{
    if (!this->pdu)
        throw std::bad_alloc();
    internal::disableLibraryLogging();
}

std::optional<CoapMessage> CoapParser::parse(std::span<const std::byte> bytes)
{
    if (bytes.size() < internal::headerSize || bytes.size() > maximalMessageSize)
        return std::nullopt;
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    if (coap_pdu_parse(COAP_PROTO_UDP, data, bytes.size(), this->pdu.get()) == 0)
        return std::nullopt;

    const coap_bin_const_t token = coap_pdu_get_token(this->pdu.get());
    // libcoap parses a copy without the header; this maps its pointers back into the input.
    const auto inputSpan = [&](const std::uint8_t *start, std::size_t size) {
        return bytes.subspan(internal::headerSize + static_cast<std::size_t>(start - token.s),
                             size);
    };
    CoapMessage message;
    message.type = static_cast<CoapType>(coap_pdu_get_type(this->pdu.get()));
    message.code = static_cast<std::uint8_t>(coap_pdu_get_code(this->pdu.get()));
    message.id = static_cast<std::uint16_t>(coap_pdu_get_mid(this->pdu.get()));
    message.token = Token::from(std::as_bytes(std::span(token.s, token.length)));

    coap_opt_iterator_t iterator;
    coap_option_iterator_init(this->pdu.get(), &iterator, COAP_OPT_ALL);
    while (const coap_opt_t *option = coap_option_next(&iterator)) {
        const std::size_t size = coap_opt_length(option);
        const auto value
            = size == 0 ? std::span<const std::byte>() : inputSpan(coap_opt_value(option), size);
        if (!internal::storeOption(message, iterator.number, value))
            return std::nullopt;
    }
    std::size_t size = 0;
    const std::uint8_t *payload = nullptr;
    if (coap_get_data(this->pdu.get(), &size, &payload) != 0)
        message.payload = inputSpan(payload, size);
    return internal::isHandled(message) ? std::optional(message) : std::nullopt;
}

} // namespace bulrushgap
