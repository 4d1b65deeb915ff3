#include "view/ReplyCompression.h"

#include "view/ViewCodec.h"

#include <boost/endian/conversion.hpp>

#include <zstd.h>

namespace bulrushgap::balance {

namespace internal {

/** Shorter replies fit into a few packets. */
constexpr std::size_t minCompressedBytes = 4'096;

/** The fastest level of the default ones: instances have a few hundredths of a core. */
constexpr int compressionLevel = 1;

} // namespace internal

std::optional<Bytes> compressReply(std::span<const std::byte> reply)
{
    if (reply.size() < internal::minCompressedBytes)
        return std::nullopt;
    Bytes result(ZSTD_compressBound(reply.size()));
    const std::size_t size = ZSTD_compress(result.data(), result.size(), reply.data(), reply.size(),
                                           internal::compressionLevel);
    if (ZSTD_isError(size) != 0)
        return std::nullopt;
    result.resize(size);
    result.shrink_to_fit();
    return result;
}

bool isCompressedReply(std::span<const std::byte> message)
{
    constexpr std::size_t magicBytes = sizeof(std::uint32_t);
    return message.size() >= magicBytes
           && boost::endian::load_little_u32(
                  reinterpret_cast<const unsigned char *>(message.data()))
                  == ZSTD_MAGICNUMBER;
}

std::optional<Bytes> decompressReply(std::span<const std::byte> message)
{
    const unsigned long long size = ZSTD_getFrameContentSize(message.data(), message.size());
    if (size == ZSTD_CONTENTSIZE_UNKNOWN || size == ZSTD_CONTENTSIZE_ERROR
        || size > maxViewMessageBytes)
        return std::nullopt;
    Bytes result(size);
    const std::size_t written
        = ZSTD_decompress(result.data(), result.size(), message.data(), message.size());
    if (ZSTD_isError(written) != 0 || written != size)
        return std::nullopt;
    return result;
}

} // namespace bulrushgap::balance
