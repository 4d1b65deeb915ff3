#pragma once

#include "base/Endpoint.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace bulrushgap {

/** \brief 64-bit hash with a key that all instances of a deployment share.
 *
 * The key keeps callers from choosing ports that collide in one bucket. The hash is not a MAC.
 */
class KeyedHash
{
public:
    explicit KeyedHash(std::uint64_t key)
        : key(key)
    {}

    [[nodiscard]] std::uint64_t operator()(std::span<const std::byte> bytes) const;
    [[nodiscard]] std::uint64_t operator()(std::string_view text) const;

    /** \returns the hash of a pair of integers, used for rendezvous ranks. */
    [[nodiscard]] std::uint64_t operator()(std::uint64_t first, std::uint64_t second) const;

private:
    std::uint64_t key;
};

} // namespace bulrushgap
