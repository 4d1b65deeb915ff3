#include "coldstart/ColdStartPolicy.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Each instance can exceed its share by one flow, so the shares must not be too small. */
constexpr double minShare = 2.0; //!< Flows per second.

} // namespace internal

ColdStartPolicy::ColdStartPolicy(UpstreamDirectory &directory, const RouteTable &routes,
                                 SharerCheck isSharer)
    : directory(directory)
    , routes(routes)
    , isSharer(std::move(isSharer))
{}

void ColdStartPolicy::refresh()
{
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        Upstream &upstream = this->directory.at(index);
        const double rate = this->routes.limits(upstream.entry.service).coldRequestsPerSecond;
        if (rate <= 0) {
            upstream.coldBudget.setUnlimited();
            continue;
        }
        const unsigned sharers = std::max(1U, static_cast<unsigned>(rate / internal::minShare));
        const bool takesPart = this->isSharer(upstream.entry.name, sharers);
        upstream.coldBudget.setRate(takesPart ? rate / sharers : 0.0);
    }
}

void ColdStartPolicy::markDomainCold(std::string_view domain, TimePoint now)
{
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        Upstream &upstream = this->directory.at(index);
        if (upstream.entry.domain != domain)
            continue;
        const Duration slowStart = this->routes.limits(upstream.entry.service).slowStart;
        upstream.coldUntil = std::max(upstream.coldUntil, now + slowStart);
    }
}

void ColdStartPolicy::markReturned(UpstreamIndex upstream, const Outage &outage, TimePoint now)
{
    Upstream &subject = this->directory.at(upstream);
    const ServiceLimits &limits = this->routes.limits(subject.entry.service);
    if (limits.coldRequestsPerSecond <= 0 || limits.slowStart <= Duration::zero())
        return;
    subject.coldReturn.emplace(outage, now, limits.slowStart);
    if (std::ranges::find(this->returned, upstream) == this->returned.end())
        this->returned.push_back(upstream);
}

void ColdStartPolicy::confirmReturned(TimePoint registryConfirmedAt)
{
    std::erase_if(this->returned, [&](UpstreamIndex index) {
        Upstream &upstream = this->directory.at(index);
        if (this->isConfirmed(upstream, registryConfirmedAt))
            upstream.coldReturn.reset();
        return !upstream.coldReturn;
    });
}

bool ColdStartPolicy::isConfirmed(const Upstream &upstream, TimePoint registryConfirmedAt) const
{
    // Entries that lapsed in an outage of the registry are complete only after its grace period.
    const bool complete = registryConfirmedAt >= this->directory.graceEnd();
    return upstream.coldReturn && upstream.registered && complete
           && upstream.coldReturn->isListedBy(registryConfirmedAt);
}

} // namespace bulrushgap::balance
