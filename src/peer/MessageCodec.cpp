#include "peer/MessageCodec.h"

#include "peer/MessageDecoder.h"
#include "peer/MessageEncoder.h"

#include <boost/leaf/error.hpp>

#include <array>
#include <cstdint>
#include <cstring>

namespace bulrushgap {

namespace internal {

constexpr std::array<std::string_view, std::variant_size_v<PeerMessage>> messageTypeNames{
    "hello",    "heartbeat", "plan_push", "plan_request",    "digest",
    "prepared", "union",     "in_force",  "upstream_status", "snapshot",
};

/** \brief Alignment that FlatBuffers needs for 64-bit fields. */
constexpr std::size_t bufferAlignment = 8;

bool isAligned(std::span<const std::byte> bytes)
{
    return reinterpret_cast<std::uintptr_t>(bytes.data()) % bufferAlignment == 0;
}

} // namespace internal

boost::leaf::result<Bytes> MessageCodec::encode(const PeerMessage &message)
{
    internal::MessageEncoder encoder;
    Bytes bytes = encoder.encode(message);
    if (!encoder.isWithinLimits() || bytes.size() > maximalFrameSize)
        return boost::leaf::new_error(MessageError::TooLarge);
    return bytes;
}

boost::leaf::result<PeerMessage> MessageCodec::decode(std::span<const std::byte> bytes)
{
    if (bytes.size() > maximalFrameSize)
        return boost::leaf::new_error(MessageError::TooLarge);
    if (!internal::isAligned(bytes)) {
        const Bytes aligned(bytes.begin(), bytes.end());
        return decode(aligned);
    }
    return internal::MessageDecoder().decode(bytes);
}

std::string_view MessageCodec::typeName(const PeerMessage &message)
{
    return internal::messageTypeNames.at(message.index());
}

} // namespace bulrushgap
