#include "readiness/DomainUpstreams.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

DomainUpstreams::DomainUpstreams(const UpstreamDirectory &directory, const RouteTable &routes,
                                 std::string domain)
    : directory(directory)
    , routes(routes)
    , domain(std::move(domain))
{}

DomainSupply DomainUpstreams::supply() const
{
    const Services services = this->routedServices();
    const bool usable = std::ranges::any_of(
        services, [this](std::string_view service) { return this->hasUsableUpstream(service); });
    if (usable)
        return DomainSupply::Own;
    bool own = false;
    bool elsewhere = false;
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        const Upstream &upstream = this->directory.at(index);
        if (!upstream.registered || !services.contains(upstream.entry.service))
            continue;
        if (upstream.entry.domain == this->domain)
            own = true;
        else
            elsewhere = true;
    }
    if (!elsewhere)
        return DomainSupply::Nowhere;
    return own ? DomainSupply::OwnUnusable : DomainSupply::OthersOnly;
}

TimePoint DomainUpstreams::lastAnswerElsewhere() const
{
    TimePoint last{};
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        const Upstream &upstream = this->directory.at(index);
        if (upstream.entry.domain != this->domain)
            last = std::max(last, upstream.health.lastAnswer());
    }
    return last;
}

DomainUpstreams::Services DomainUpstreams::routedServices() const
{
    Services services;
    for (const Route &route : this->routes.routes()) {
        for (const ServiceShare &share : route.services)
            services.insert(share.service);
    }
    return services;
}

bool DomainUpstreams::hasUsableUpstream(std::string_view service) const
{
    return std::ranges::any_of(this->directory.candidates(service), [this](UpstreamIndex index) {
        const Upstream &upstream = this->directory.at(index);
        return upstream.entry.domain == this->domain && !upstream.health.isConfirmedDown();
    });
}

} // namespace bulrushgap::balance
