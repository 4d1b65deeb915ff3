#include "base/Endpoint.h"

namespace bulrushgap {

namespace internal {

/** \brief Parses a decimal number up to \a limit at the start of \a text and removes it. */
std::optional<std::uint32_t> consumeNumber(std::string_view &text, std::uint32_t limit)
{
    std::uint32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || number > limit)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return number;
}

bool consumeCharacter(std::string_view &text, char character)
{
    if (text.empty() || text.front() != character)
        return false;
    text.remove_prefix(1);
    return true;
}

} // namespace internal

std::string Endpoint::toString() const
{
    std::string text;
    for (int shift = 24; shift >= 0; shift -= 8) {
        text += std::to_string((this->address >> shift) & 0xffU);
        text += shift > 0 ? '.' : ':';
    }
    return text + std::to_string(this->port);
}

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    constexpr std::uint32_t octetLimit = 255;
    constexpr std::uint32_t portLimit = 65535;
    Endpoint endpoint;
    for (int octet = 0; octet < 4; ++octet) {
        const auto number = internal::consumeNumber(text, octetLimit);
        if (!number || !internal::consumeCharacter(text, octet < 3 ? '.' : ':'))
            return std::nullopt;
        endpoint.address = (endpoint.address << 8) | *number;
    }
    const auto port = internal::consumeNumber(text, portLimit);
    if (!port || !text.empty())
        return std::nullopt;
    endpoint.port = static_cast<std::uint16_t>(*port);
    return endpoint;
}

} // namespace bulrushgap
