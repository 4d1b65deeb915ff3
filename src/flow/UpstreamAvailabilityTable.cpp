#include "flow/UpstreamAvailabilityTable.h"

#include <algorithm>

namespace bulrushgap {

UpstreamAvailabilityTable::UpstreamAvailabilityTable(const PlanService &service,
                                                     std::span<const PlanDomain> domains)
{
    if (service.upstreams.empty())
        return;
    this->firstId = service.upstreams.front().id.value;
    this->availability.resize(service.upstreams.back().id.value - this->firstId + 1,
                              UpstreamAvailability::Removed);
    for (const PlanUpstream &upstream : service.upstreams) {
        const auto domain = std::ranges::find(domains, upstream.domain, &PlanDomain::id);
        const bool out = domain != domains.end() && domain->out;
        this->availability[upstream.id.value - this->firstId]
            = out ? UpstreamAvailability::DomainOut : UpstreamAvailability::Usable;
    }
}

} // namespace bulrushgap
