#pragma once

#include "wire/Bytes.h"

#include <cstddef>
#include <optional>
#include <span>

namespace bulrushgap {

/** \brief Splits a byte stream into frames: length (4 bytes, little endian), then the message. */
class FrameReader
{
public:
    /** \brief Size of the length prefix in bytes. */
    static constexpr std::size_t lengthPrefixSize = 4;

    /** \param maxMessageSize maximum length of a message in bytes. */
    explicit FrameReader(std::size_t maxMessageSize)
        : maxMessageSize(maxMessageSize)
    {}

    /** \brief Adds received bytes. */
    void append(std::span<const std::byte> bytes);

    /** \returns the next complete message, or nothing if more bytes are needed. */
    [[nodiscard]] std::optional<Bytes> next();

    /** \returns whether a part of the next message has been received. */
    [[nodiscard]] bool hasPartialMessage() const { return this->consumed < this->buffer.size(); }

    /** \returns whether a length prefix exceeded the limit; no more messages can be read then. */
    [[nodiscard]] bool isLimitExceeded() const { return this->limitExceeded; }

    /** \returns \a message with its length prefix. */
    [[nodiscard]] static Bytes encodeFrame(std::span<const std::byte> message);

private:
    std::size_t maxMessageSize;
    Bytes buffer;
    std::size_t consumed = 0;
    bool limitExceeded = false;
};

} // namespace bulrushgap
