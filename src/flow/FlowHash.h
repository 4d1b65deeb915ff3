#pragma once

#include "message/PeerMessage.h"

#include <cstddef>
#include <cstdint>

namespace bulrushgap {

constexpr unsigned bucketBits = 12;
constexpr std::size_t bucketCount = std::size_t{1} << bucketBits;
constexpr unsigned fingerprintBits = 40;

/** \brief Number of bucket groups; each group has one arbiter during a transition. */
constexpr std::size_t bucketGroupCount = 64;

/** \brief Marks buckets without a usable upstream in bucket tables. */
constexpr UpstreamId noUpstream{0xffff};

[[nodiscard]] constexpr std::uint16_t bucketOf(std::uint64_t flowHash)
{
    return static_cast<std::uint16_t>(flowHash & (bucketCount - 1));
}

[[nodiscard]] constexpr std::uint64_t fingerprintOf(std::uint64_t flowHash)
{
    return (flowHash >> bucketBits) & ((std::uint64_t{1} << fingerprintBits) - 1);
}

[[nodiscard]] constexpr std::size_t groupOf(std::uint16_t bucket)
{
    return bucket % bucketGroupCount;
}

/** \returns the flow hash that consists of the bucket and fingerprint of \a record. */
[[nodiscard]] constexpr std::uint64_t flowHashOf(const FlowRecord &record)
{
    return (record.fingerprint << bucketBits) | record.bucket;
}

} // namespace bulrushgap
