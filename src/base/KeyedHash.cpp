#include "base/KeyedHash.h"

#include <xxhash.h>

namespace bulrushgap {

std::uint64_t KeyedHash::operator()(std::span<const std::byte> bytes) const
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), this->key);
}

std::uint64_t KeyedHash::operator()(std::string_view text) const
{
    return XXH3_64bits_withSeed(text.data(), text.size(), this->key);
}

std::uint64_t KeyedHash::operator()(std::uint64_t first, std::uint64_t second) const
{
    const std::array<std::uint64_t, 2> words{first, second};
    return XXH3_64bits_withSeed(words.data(), sizeof(words), this->key);
}

} // namespace bulrushgap
