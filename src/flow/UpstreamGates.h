#pragma once

#include "plan/Plan.h"

#include <cstdint>
#include <span>
#include <vector>

namespace bulrushgap {

/** \brief Whether known flows of an upstream may go on. */
enum class UpstreamGate : std::uint8_t {
    Gone,   //!< Removed from the plan.
    Out,    //!< In a failure domain that was taken out.
    Target, //!< Keeps its flows; it may be draining.
};

/** \brief Gates of the upstreams of one service, by id in constant time. */
class UpstreamGates
{
public:
    UpstreamGates() = default;
    UpstreamGates(const PlanService &service, std::span<const PlanDomain> domains);

    friend bool operator==(const UpstreamGates &, const UpstreamGates &) = default;

    [[nodiscard]] UpstreamGate operator[](UpstreamId id) const
    {
        const std::size_t index = std::size_t{id.value} - this->firstId;
        return index < this->gates.size() ? this->gates[index] : UpstreamGate::Gone;
    }

private:
    std::size_t firstId = 0;
    std::vector<UpstreamGate> gates;
};

} // namespace bulrushgap
