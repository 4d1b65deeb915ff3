#pragma once

#include "wire/Bytes.h"

#include <cstddef>
#include <optional>
#include <span>

namespace bulrushgap {

/** \brief Cuts a byte stream into frames: length (4 bytes, little endian), then the message. */
class FrameReader
{
public:
    /** \brief Size of the length in front of each message. */
    static constexpr std::size_t lengthPrefixSize = 4;

    /** \param limit longest message in bytes. */
    explicit FrameReader(std::size_t limit)
        : limit(limit)
    {}

    /** \brief Adds received bytes. */
    void append(std::span<const std::byte> bytes);

    /** \returns the next complete message, or nothing if more bytes are needed. */
    [[nodiscard]] std::optional<Bytes> next();

    /** \returns whether an announced length is over the limit; the stream is then useless. */
    [[nodiscard]] bool isLimitExceeded() const { return this->broken; }

    /** \returns the message with its length in front. */
    [[nodiscard]] static Bytes encodeFrame(std::span<const std::byte> message);

private:
    std::size_t limit;
    Bytes buffer;
    std::size_t consumed = 0;
    bool broken = false;
};

} // namespace bulrushgap
