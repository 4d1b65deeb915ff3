#include "wire/CoapBuilder.h"

#include "wire/CoapWriter.h"

namespace bulrushgap::coapbuilder {

namespace internal {

constexpr std::string_view feedPath = "feed";
constexpr std::uint32_t sequenceMask = 0xffffff; // Observe options have at most 3 bytes.

CoapWriter startMessage(const CoapIdentity &identity, std::uint8_t code)
{
    return {identity.type, code, identity.id, identity.token};
}

Bytes finishResponse(CoapWriter &writer, const CoapAnswer &answer)
{
    if (answer.etag)
        writer.uintOption(coapoption::etag, *answer.etag);
    if (answer.block)
        writer.blockOption(*answer.block);
    if (answer.load)
        writer.loadOption(*answer.load);
    return writer.payload(bytesOf(answer.body)).take();
}

} // namespace internal

Bytes request(const CoapIdentity &identity, const CoapRequest &request)
{
    using std::chrono::milliseconds;
    CoapWriter writer = internal::startMessage(identity, request.code);
    writer.option(coapoption::uriPath, bytesOf(request.path));
    if (!request.echo.empty())
        writer.option(coapoption::echo, request.echo);
    if (request.deadline) {
        const auto remaining = std::chrono::duration_cast<milliseconds>(*request.deadline);
        writer.uintOption(coapoption::deadline, static_cast<std::uint64_t>(remaining.count()));
    }
    return writer.payload(bytesOf(request.body)).take();
}

Bytes observe(const CoapIdentity &identity, bool refresh)
{
    CoapWriter writer = internal::startMessage(identity, coapcode::get);
    writer.uintOption(coapoption::observe, 0);
    writer.option(coapoption::uriPath, bytesOf(internal::feedPath));
    if (refresh)
        writer.option(coapoption::uriQuery, bytesOf("refresh"));
    return writer.take();
}

Bytes unobserve(const CoapIdentity &identity)
{
    CoapWriter writer = internal::startMessage(identity, coapcode::get);
    writer.uintOption(coapoption::observe, 1);
    return writer.option(coapoption::uriPath, bytesOf(internal::feedPath)).take();
}

Bytes cancel(const CoapIdentity &identity, std::uint8_t code)
{
    return internal::startMessage(identity, code).option(coapoption::cancel, {}).take();
}

Bytes acknowledgement(std::uint16_t id)
{
    return CoapWriter(CoapType::Acknowledgement, coapcode::empty, id, Token{}).take();
}

Bytes notification(const CoapIdentity &identity, std::uint32_t sequence, const CoapAnswer &answer)
{
    CoapWriter writer = internal::startMessage(identity, answer.code);
    writer.uintOption(coapoption::observe, sequence & internal::sequenceMask);
    return internal::finishResponse(writer, answer);
}

Bytes answer(const CoapIdentity &identity, const CoapAnswer &answer)
{
    CoapWriter writer = internal::startMessage(identity, answer.code);
    return internal::finishResponse(writer, answer);
}

CoapIdentity replyTo(const CoapMessage &request, std::uint16_t nextId)
{
    if (request.type == CoapType::Confirmable)
        return {CoapType::Acknowledgement, request.id, request.token};
    return {CoapType::NonConfirmable, nextId, request.token};
}

} // namespace bulrushgap::coapbuilder
