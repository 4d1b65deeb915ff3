#pragma once

#include "message/PeerMessage.h"
#include "wire/Bytes.h"

#include <boost/leaf/result.hpp>

#include <cstddef>
#include <span>
#include <string_view>

namespace bulrushgap {

/** \brief Largest encoded message in bytes. */
constexpr std::size_t maximalFrameSize = std::size_t{256} * 1024;

enum class MessageError {
    Malformed,   //!< The bytes are no message, or a value is out of range.
    Unsupported, //!< A message type of a newer version.
    TooLarge,    //!< A name, a list or the whole message is over its limit.
};

/** \brief Encodes messages between instances with FlatBuffers (schema peer.fbs). */
class MessageCodec
{
public:
    /** \returns the message without its length prefix, or MessageError::TooLarge. */
    [[nodiscard]] static boost::leaf::result<Bytes> encode(const PeerMessage &message);

    /** \returns the message, or a MessageError. */
    [[nodiscard]] static boost::leaf::result<PeerMessage> decode(std::span<const std::byte> bytes);

    /** \returns the name of the message type used in counters, for example "heartbeat". */
    [[nodiscard]] static std::string_view typeName(const PeerMessage &message);
};

} // namespace bulrushgap
