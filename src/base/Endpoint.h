#pragma once

#include <charconv>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief IPv4 address and port, both in host byte order. */
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    friend constexpr auto operator<=>(const Endpoint &, const Endpoint &) = default;

    /** \returns a number that no other endpoint has, as key of hash tables. */
    [[nodiscard]] constexpr std::uint64_t key() const
    {
        constexpr unsigned portBits = 16;
        return (std::uint64_t{this->address} << portBits) | this->port;
    }

    /** \returns the text form "a.b.c.d:port". */
    [[nodiscard]] std::string toString() const;

    /** \returns the endpoint of a text "a.b.c.d:port", or nothing if the text is malformed. */
    [[nodiscard]] static std::optional<Endpoint> parse(std::string_view text);
};

} // namespace bulrushgap
