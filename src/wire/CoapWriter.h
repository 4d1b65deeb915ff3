#pragma once

#include "wire/Bytes.h"
#include "wire/CoapMessage.h"

#include <cstdint>
#include <span>

namespace bulrushgap {

/** \brief Writes one CoAP message; options have to be added in ascending order of numbers. */
class CoapWriter
{
public:
    CoapWriter(CoapType type, std::uint8_t code, std::uint16_t id, const Token &token);

    CoapWriter &option(std::uint16_t number, std::span<const std::byte> value);

    /** \brief Adds an option with the shortest encoding of \a value. */
    CoapWriter &uintOption(std::uint16_t number, std::uint64_t value);

    CoapWriter &blockOption(const CoapBlock &block);
    CoapWriter &loadOption(const LoadReport &report);

    /** \brief Adds the payload, which has to come last; nothing if it is empty. */
    CoapWriter &payload(std::span<const std::byte> value);

    /** \returns the message; the writer is empty afterwards. */
    [[nodiscard]] Bytes take() { return std::move(this->bytes); }

private:
    Bytes bytes;
    std::uint16_t lastOption = 0;
};

} // namespace bulrushgap
