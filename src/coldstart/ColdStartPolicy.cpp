#include "coldstart/ColdStartPolicy.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Each instance may be one flow ahead of its share, so the shares must not be too small. */
constexpr double smallestShare = 2.0; //!< Flows per second.

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
        const unsigned sharers
            = std::max(1U, static_cast<unsigned>(rate / internal::smallestShare));
        const bool mine = this->isSharer(upstream.entry.name, sharers);
        upstream.coldBudget.setRate(mine ? rate / sharers : 0.0);
    }
}

void ColdStartPolicy::domainReturned(std::string_view domain, TimePoint now)
{
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        Upstream &upstream = this->directory.at(index);
        if (upstream.entry.domain != domain)
            continue;
        const Duration slowStart = this->routes.limits(upstream.entry.service).slowStart;
        upstream.coldUntil = std::max(upstream.coldUntil, now + slowStart);
    }
}

} // namespace bulrushgap::balance
