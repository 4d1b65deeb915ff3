#include "flow/UpstreamGates.h"

#include <algorithm>

namespace bulrushgap {

UpstreamGates::UpstreamGates(const PlanService &service, std::span<const PlanDomain> domains)
{
    if (service.upstreams.empty())
        return;
    this->firstId = service.upstreams.front().id.value;
    this->gates.resize(service.upstreams.back().id.value - this->firstId + 1, UpstreamGate::Gone);
    for (const PlanUpstream &upstream : service.upstreams) {
        const auto domain = std::ranges::find(domains, upstream.domain, &PlanDomain::id);
        const bool out = domain != domains.end() && domain->out;
        this->gates[upstream.id.value - this->firstId]
            = out ? UpstreamGate::Out : UpstreamGate::Target;
    }
}

} // namespace bulrushgap
