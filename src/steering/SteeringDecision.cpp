#include "steering/SteeringDecision.h"

#include <array>
#include <cstddef>

namespace bulrushgap::balance {

std::string_view toString(SteeringReason reason)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(SteeringReason::Count)>
        names{
            "new_flow",          "repeated_syn",     "known_upstream",
            "no_route",          "route_removed",    "no_upstream",
            "cold_upstreams",    "all_unreachable",  "upstream_unreachable",
            "upstream_replaced", "unknown_upstream", "not_ready",
            "awaiting_view",     "foreign_upstream", "stray_packet",
        };
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace bulrushgap::balance
