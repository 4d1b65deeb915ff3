#pragma once

#include "base/Time.h"
#include "packet/Packet.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace bulrushgap {

enum class CoapType : std::uint8_t { Confirmable, NonConfirmable, Acknowledgement, Reset };

/** \brief Codes that the load balancer and the stand-ins use; class in the upper three bits. */
namespace coapcode {
constexpr std::uint8_t empty = 0;
constexpr std::uint8_t get = 1;
constexpr std::uint8_t post = 2;
constexpr std::uint8_t put = 3;
constexpr std::uint8_t remove = 4;
constexpr std::uint8_t changed = 0x44;
constexpr std::uint8_t content = 0x45;
constexpr std::uint8_t unauthorized = 0x81;
constexpr std::uint8_t internalServerError = 0xa0;
constexpr std::uint8_t serviceUnavailable = 0xa3;
constexpr std::uint8_t gatewayTimeout = 0xa4;
} // namespace coapcode

/** \brief Option numbers; 65000 and above are reserved for experimental use (RFC 7252). */
namespace coapoption {
constexpr std::uint16_t etag = 4;
constexpr std::uint16_t observe = 6;
constexpr std::uint16_t uriPath = 11;
constexpr std::uint16_t maxAge = 14;
constexpr std::uint16_t uriQuery = 15;
constexpr std::uint16_t qBlock2 = 31;
constexpr std::uint16_t echo = 252;
constexpr std::uint16_t deadline = 65000;
constexpr std::uint16_t cancel = 65004;
constexpr std::uint16_t loadReport = 65008;
} // namespace coapoption

/** \brief Value of a Q-Block2 option. */
struct CoapBlock
{
    std::uint32_t number = 0;
    bool more = false;

    friend bool operator==(const CoapBlock &, const CoapBlock &) = default;
};

/** \brief A parsed CoAP message; its spans and path refer to the input buffer. */
struct CoapMessage
{
    CoapType type = CoapType::Confirmable;
    std::uint8_t code = coapcode::empty;
    std::uint16_t id = 0;
    Token token;
    std::optional<std::uint32_t> observe;
    std::optional<Duration> deadline;
    bool cancel = false;
    bool refresh = false; //!< Uri-Query "refresh", by which callers' stand-ins mark a refresh.
    std::optional<LoadReport> load;
    std::optional<CoapBlock> block;
    std::string_view path;           //!< Last Uri-Path option.
    std::span<const std::byte> etag; //!< Same in all parts of one answer.
    std::span<const std::byte> echo;
    std::span<const std::byte> payload;

    [[nodiscard]] bool isEmpty() const { return this->code == coapcode::empty; }
    [[nodiscard]] std::uint8_t codeClass() const { return this->code >> 5; }
    [[nodiscard]] bool isRequest() const
    {
        return this->code >= coapcode::get && this->code <= coapcode::remove;
    }
    [[nodiscard]] bool isResponse() const
    {
        return this->codeClass() == 2 || this->codeClass() == 4 || this->codeClass() == 5;
    }
};

} // namespace bulrushgap
