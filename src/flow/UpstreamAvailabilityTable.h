#pragma once

#include "plan/Plan.h"

#include <cstdint>
#include <span>
#include <vector>

namespace bulrushgap {

/** \brief Whether recorded flows may continue on an upstream. */
enum class UpstreamAvailability : std::uint8_t {
    Removed,   //!< Removed from the plan.
    DomainOut, //!< Its failure domain was taken out.
    Usable,    //!< Keeps its flows, also while draining.
};

/** \brief Availability of the upstreams of one service; constant-time lookup by id. */
class UpstreamAvailabilityTable
{
public:
    UpstreamAvailabilityTable() = default;
    UpstreamAvailabilityTable(const PlanService &service, std::span<const PlanDomain> domains);

    friend bool operator==(const UpstreamAvailabilityTable &, const UpstreamAvailabilityTable &)
        = default;

    [[nodiscard]] UpstreamAvailability operator[](UpstreamId id) const
    {
        const std::size_t index = std::size_t{id.value} - this->firstId;
        return index < this->availability.size() ? this->availability[index]
                                                 : UpstreamAvailability::Removed;
    }

private:
    std::size_t firstId = 0;
    std::vector<UpstreamAvailability> availability;
};

} // namespace bulrushgap
