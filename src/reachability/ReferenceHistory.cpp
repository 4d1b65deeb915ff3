#include "reachability/ReferenceHistory.h"

#include <algorithm>

namespace bulrushgap::balance {

namespace internal {

/** A reference serves the probes that start this much earlier or later. */
constexpr Duration referenceWindow = std::chrono::milliseconds(30);

/** Connections take a few milliseconds; on a congested link they take longer. */
constexpr Duration maxReferenceTime = std::chrono::milliseconds(50);

/** Probes end after 110 ms, or 30 ms later if this process was paused. */
constexpr Duration referenceRetention = std::chrono::seconds(1);

bool isNear(TimePoint first, TimePoint second)
{
    return first - second <= referenceWindow && second - first <= referenceWindow;
}

} // namespace internal

void ReferenceHistory::add(DomainIndex domain, TimePoint startedAt, TimePoint now)
{
    std::erase_if(this->references, [now](const Reference &reference) {
        return now - reference.startedAt > internal::referenceRetention;
    });
    if (now - startedAt <= internal::maxReferenceTime)
        this->references.push_back({domain, startedAt});
}

bool ReferenceHistory::hasNear(TimePoint startedAt) const
{
    return std::ranges::any_of(this->references, [startedAt](const Reference &reference) {
        return internal::isNear(reference.startedAt, startedAt);
    });
}

bool ReferenceHistory::hasNearOutside(DomainIndex domain, TimePoint startedAt) const
{
    return std::ranges::any_of(this->references, [domain, startedAt](const Reference &reference) {
        return reference.domain != domain && internal::isNear(reference.startedAt, startedAt);
    });
}

} // namespace bulrushgap::balance
