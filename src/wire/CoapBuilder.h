#pragma once

#include "wire/Bytes.h"
#include "wire/CoapMessage.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace bulrushgap {

/** \brief Type and message id of a message and the token that it carries. */
struct CoapIdentity
{
    CoapType type = CoapType::Confirmable;
    std::uint16_t id = 0;
    Token token;
};

/** \brief What a caller asks for. */
struct CoapRequest
{
    std::uint8_t code = coapcode::get;
    std::string_view path;
    std::optional<Duration> deadline;
    std::span<const std::byte> echo; //!< Ticket; empty without one.
    std::string_view body;
};

/** \brief What an upstream answers. */
struct CoapAnswer
{
    std::uint8_t code = coapcode::content;
    std::optional<std::uint64_t> etag; //!< Equal in all parts of one answer, unique to a run.
    std::optional<CoapBlock> block;    //!< Number of the part in an answer of several parts.
    std::optional<LoadReport> load;
    std::string_view body;
};

/** \brief Builds the messages of callers and upstreams, for stand-ins and tests. */
namespace coapbuilder {

[[nodiscard]] Bytes request(const CoapIdentity &identity, const CoapRequest &request);

/** \returns a GET with Observe 0; \a refresh marks that the feed is already open. */
[[nodiscard]] Bytes observe(const CoapIdentity &identity, bool refresh);

/** \returns a GET with Observe 1. */
[[nodiscard]] Bytes unobserve(const CoapIdentity &identity);

/** \returns a request with a Cancel option; \a code is that of the request to cancel. */
[[nodiscard]] Bytes cancel(const CoapIdentity &identity, std::uint8_t code);

/** \returns an empty acknowledgement of the message with the id. */
[[nodiscard]] Bytes acknowledgement(std::uint16_t id);

/** \returns an item of a feed. */
[[nodiscard]] Bytes notification(const CoapIdentity &identity, std::uint32_t sequence,
                                 const CoapAnswer &answer);

/** \returns an answer, a part of one, or a shed request (code 5.03). */
[[nodiscard]] Bytes answer(const CoapIdentity &identity, const CoapAnswer &answer);

/** \returns the identity of a reply: acknowledgement of a confirmable request, otherwise
 * non-confirmable with \a nextId.
 */
[[nodiscard]] CoapIdentity replyTo(const CoapMessage &request, std::uint16_t nextId);

} // namespace coapbuilder

} // namespace bulrushgap
