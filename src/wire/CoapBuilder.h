#pragma once

#include "wire/Bytes.h"
#include "wire/CoapMessage.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace bulrushgap {

/** \brief Type, message ID and token of a message. */
struct CoapIdentity
{
    CoapType type = CoapType::Confirmable;
    std::uint16_t id = 0;
    Token token;
};

/** \brief Contents of a request from a caller. */
struct CoapRequest
{
    std::uint8_t code = coapcode::get;
    std::string_view path;
    std::optional<Duration> deadline;
    std::span<const std::byte> echo; //!< Echo option value (ticket); empty if absent.
    std::string_view body;
};

/** \brief Contents of a response from an upstream. */
struct CoapAnswer
{
    std::uint8_t code = coapcode::content;
    std::optional<std::uint64_t> etag; //!< Same in all parts of an answer; unique per execution.
    std::optional<CoapBlock> block;    //!< Position of this part in a multi-part answer.
    std::optional<LoadReport> load;
    std::string_view body;
};

/** \brief Builds the messages of callers and upstreams, for stand-ins and tests. */
namespace coapbuilder {

[[nodiscard]] Bytes request(const CoapIdentity &identity, const CoapRequest &request);

/** \returns a GET with Observe 0; \a refresh is true if the feed is already open. */
[[nodiscard]] Bytes observe(const CoapIdentity &identity, bool refresh);

/** \returns a GET with Observe 1. */
[[nodiscard]] Bytes unobserve(const CoapIdentity &identity);

/** \returns a request with a Cancel option; \a code is the code of the request to cancel. */
[[nodiscard]] Bytes cancel(const CoapIdentity &identity, std::uint8_t code);

/** \returns an empty acknowledgement of the message with ID \a id. */
[[nodiscard]] Bytes acknowledgement(std::uint16_t id);

/** \returns a notification with one feed item. */
[[nodiscard]] Bytes notification(const CoapIdentity &identity, std::uint32_t sequence,
                                 const CoapAnswer &answer);

/** \returns a complete answer, one part of it, or the rejection of a shed request (5.03). */
[[nodiscard]] Bytes answer(const CoapIdentity &identity, const CoapAnswer &answer);

/** \returns the identity of a reply: an acknowledgement if the request is confirmable, otherwise
 * a non-confirmable message with ID \a nextId.
 */
[[nodiscard]] CoapIdentity replyTo(const CoapMessage &request, std::uint16_t nextId);

} // namespace coapbuilder

} // namespace bulrushgap
