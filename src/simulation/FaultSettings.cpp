#include "simulation/FaultSettings.h"

#include <array>
#include <cstddef>

namespace bulrushgap::simulation {

std::string_view toString(FaultKind kind)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(FaultKind::Count)> names{
        "instance-kill",
        "instance-freeze",
        "instance-stop",
        "instance-isolated",
        "instance-without-store",
        "all-instances-lost",
        "upstream-crash",
        "upstream-dark",
        "upstream-reborn",
        "upstream-slow",
        "upstream-hang",
        "upstream-reuse",
        "release",
        "scale-out",
        "scale-in",
        "domain-cut",
        "domain-one-way",
        "domain-lost",
        "loss",
        "store-silent",
        "store-reset",
        "store-busy",
        "store-lapse",
        "store-refuses",
        "store-slow",
        "store-loses-answers",
        "store-forgets",
        "store-restored",
        "route-dropped",
        "route-moved",
        "configuration-storm",
        "evacuation",
        "burst"};
    return names.at(static_cast<std::size_t>(kind));
}

FaultKind faultKindOf(std::string_view name)
{
    for (std::size_t i = 0; i < static_cast<std::size_t>(FaultKind::Count); ++i) {
        if (toString(static_cast<FaultKind>(i)) == name)
            return static_cast<FaultKind>(i);
    }
    return FaultKind::Count;
}

std::string PlannedFault::toString() const
{
    const auto seconds = [](Duration duration) {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    };
    const std::string where = this->domain.empty() ? "" : ", domain " + this->domain;
    return "at " + seconds(this->at) + " ms " + std::string(simulation::toString(this->kind))
           + " for " + seconds(this->duration) + " ms, share " + std::to_string(this->share)
           + where;
}

} // namespace bulrushgap::simulation
