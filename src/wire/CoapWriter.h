#pragma once

#include "wire/Bytes.h"
#include "wire/CoapMessage.h"

#include <cstdint>
#include <span>

namespace bulrushgap {

/** \brief Serializes one CoAP message; options must be added in ascending number order. */
class CoapWriter
{
public:
    CoapWriter(CoapType type, std::uint8_t code, std::uint16_t id, const Token &token);

    CoapWriter &option(std::uint16_t number, std::span<const std::byte> value);

    /** \brief Adds an option with the shortest encoding of \a value. */
    CoapWriter &uintOption(std::uint16_t number, std::uint64_t value);

    CoapWriter &blockOption(const CoapBlock &block);
    CoapWriter &loadOption(const LoadReport &report);

    /** \brief Appends the payload after all options; does nothing if \a value is empty. */
    CoapWriter &payload(std::span<const std::byte> value);

    /** \returns the message and leaves the writer empty. */
    [[nodiscard]] Bytes take() { return std::move(this->bytes); }

private:
    Bytes bytes;
    std::uint16_t lastOption = 0;
};

} // namespace bulrushgap
