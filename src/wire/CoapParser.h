#pragma once

#include "wire/Bytes.h"
#include "wire/CoapMessage.h"

#include <memory>
#include <optional>
#include <span>

struct coap_pdu_t;

namespace bulrushgap {

/** \brief Parses CoAP messages with libcoap; reuses one PDU for all messages. */
class CoapParser
{
public:
    CoapParser();

    /** \returns the message, or nothing if the bytes are malformed, oversized, or of a code or
     * type that the load balancer does not handle.
     *
     * Elective options with a malformed value are ignored (RFC 7252, section 5.4.3).
     */
    [[nodiscard]] std::optional<CoapMessage> parse(std::span<const std::byte> bytes);

private:
    struct Deleter
    {
        void operator()(coap_pdu_t *pdu) const;
    };

    std::unique_ptr<coap_pdu_t, Deleter> pdu;
};

} // namespace bulrushgap
