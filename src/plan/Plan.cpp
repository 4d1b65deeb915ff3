#include "plan/Plan.h"

#include <algorithm>

namespace bulrushgap {

namespace internal {

template <typename Range, typename Id>
const typename Range::value_type *findById(const Range &range, Id id)
{
    const auto found = std::ranges::lower_bound(range, id, {}, &Range::value_type::id);
    return found != range.end() && found->id == id ? &*found : nullptr;
}

} // namespace internal

const PlanDomain *Plan::domain(DomainId id) const
{
    return internal::findById(this->domains, id);
}

const PlanInstance *Plan::instance(InstanceId id) const
{
    return internal::findById(this->instances, id);
}

const PlanInstance *Plan::instance(std::string_view name) const
{
    const auto found = std::ranges::find(this->instances, name, &PlanInstance::name);
    return found != this->instances.end() ? &*found : nullptr;
}

const PlanService *Plan::service(ServiceId id) const
{
    return internal::findById(this->services, id);
}

const PlanService *Plan::serviceAt(Endpoint address) const
{
    const auto found = std::ranges::find(this->services, address, &PlanService::address);
    return found != this->services.end() ? &*found : nullptr;
}

const PlanUpstream *findUpstream(const PlanService &service, UpstreamId id)
{
    return internal::findById(service.upstreams, id);
}

} // namespace bulrushgap
