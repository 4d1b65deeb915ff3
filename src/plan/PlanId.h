#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace bulrushgap {

/** \brief Defines the total order of plans; instances adopt only plans with a greater id. */
struct PlanId
{
    std::uint64_t storeVersion = 0; //!< Version of the plan object in the platform's store.
    std::uint32_t overlay = 0;      //!< Incremented per plan while the store is unwritable.
    std::uint64_t writer = 0;       //!< Hash of the writer's name and boot id; breaks ties.

    friend constexpr auto operator<=>(const PlanId &, const PlanId &) = default;

    [[nodiscard]] std::string toString() const
    {
        return std::to_string(this->storeVersion) + '.' + std::to_string(this->overlay);
    }
};

} // namespace bulrushgap
