#include "packet/Packet.h"

namespace bulrushgap {

namespace internal {

constexpr std::size_t dispatchTokenSize = 8;

template <typename Integer>
void put(std::span<std::byte> target, Integer value)
{
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        target[i] = static_cast<std::byte>((value >> (8 * (sizeof(Integer) - 1 - i))) & 0xffU);
}

template <typename Integer>
Integer get(std::span<const std::byte> source)
{
    Integer value = 0;
    for (std::size_t i = 0; i < sizeof(Integer); ++i)
        value = static_cast<Integer>((value << 8) | std::to_integer<Integer>(source[i]));
    return value;
}

} // namespace internal

Token DispatchId::toToken() const
{
    Token token;
    token.size = internal::dispatchTokenSize;
    const std::span<std::byte> bytes(token.bytes);
    internal::put(bytes.subspan(0, 2), this->instance.value);
    internal::put(bytes.subspan(2, 2), this->bootTag);
    internal::put(bytes.subspan(4, 4), this->sequence);
    return token;
}

std::optional<DispatchId> DispatchId::fromToken(const Token &token)
{
    if (token.size != internal::dispatchTokenSize)
        return std::nullopt;
    const std::span<const std::byte> bytes(token.bytes);
    DispatchId id;
    id.instance = InstanceId{internal::get<std::uint16_t>(bytes.subspan(0, 2))};
    id.bootTag = internal::get<std::uint16_t>(bytes.subspan(2, 2));
    id.sequence = internal::get<std::uint32_t>(bytes.subspan(4, 4));
    return id;
}

} // namespace bulrushgap
