#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace bulrushgap {

/** \brief Strongly typed integer id; ids of different kinds of objects cannot be mixed. */
template <typename Tag, typename Representation>
struct StrongId
{
    using ValueType = Representation;

    Representation value{};

    friend constexpr auto operator<=>(const StrongId &, const StrongId &) = default;
};

struct InstanceTag;
struct UpstreamTag;
struct ServiceTag;
struct DomainTag;

/** \brief Ids that a plan assigns; stable from plan to plan while the object exists. */
using InstanceId = StrongId<InstanceTag, std::uint16_t>;
using UpstreamId = StrongId<UpstreamTag, std::uint16_t>;
using ServiceId = StrongId<ServiceTag, std::uint16_t>;
using DomainId = StrongId<DomainTag, std::uint16_t>;

} // namespace bulrushgap

template <typename Tag, typename Representation>
struct std::hash<bulrushgap::StrongId<Tag, Representation>>
{
    std::size_t operator()(const bulrushgap::StrongId<Tag, Representation> &id) const noexcept
    {
        return std::hash<Representation>{}(id.value);
    }
};
