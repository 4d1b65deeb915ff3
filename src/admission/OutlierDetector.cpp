#include "admission/OutlierDetector.h"

#include "ejection/EjectionLimit.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

void OutlierDetector::setUpstreams(std::span<const ObservedUpstream> upstreams,
                                   std::size_t serviceSize, std::size_t ejectedElsewhere)
{
    std::map<UpstreamId, State> next;
    for (const ObservedUpstream &upstream : upstreams) {
        const auto known = this->states.find(upstream.id);
        State state;
        if (known != this->states.end())
            state = known->second;
        else
            state.ejected = upstream.ejectedByPlan;
        state.domain = upstream.domain;
        next.emplace(upstream.id, state);
    }
    this->states = std::move(next);
    this->serviceSize = serviceSize;
    this->ejectedElsewhere = ejectedElsewhere;
}

void OutlierDetector::onAnswer(UpstreamId id)
{
    const auto found = this->states.find(id);
    if (found == this->states.end())
        return;
    found->second.misses = 0;
    found->second.ejected = false;
}

void OutlierDetector::onMissedDeadline(UpstreamId id, TimePoint now)
{
    const auto found = this->states.find(id);
    if (found == this->states.end())
        return;
    State &state = found->second;
    ++state.misses;
    if (state.ejected || state.misses < this->settings.missLimit)
        return;
    if (this->wholeDomainFailing(state.domain)) {
        // All upstreams of a domain failing at once indicates a network fault of this instance.
        this->counters.add("outlier_self_doubt");
        for (auto &[other, otherState] : this->states)
            otherState.ejected = otherState.ejected && otherState.domain != state.domain;
        return;
    }
    if (this->ejectedCount() >= this->ejectionLimit()) {
        this->counters.add("outlier_ejection_limit");
        return;
    }
    state.ejected = true;
    state.nextProbe = now + this->settings.probeInterval;
    this->counters.add("outlier_ejected");
}

void OutlierDetector::onProbe(UpstreamId id, TimePoint now)
{
    const auto found = this->states.find(id);
    if (found != this->states.end())
        found->second.nextProbe = now + this->settings.probeInterval;
}

bool OutlierDetector::ejected(UpstreamId id) const
{
    const auto found = this->states.find(id);
    return found != this->states.end() && found->second.ejected;
}

bool OutlierDetector::suspect(UpstreamId id) const
{
    const auto found = this->states.find(id);
    return found != this->states.end() && found->second.misses > 0;
}

bool OutlierDetector::probeDue(UpstreamId id, bool idempotent, TimePoint now) const
{
    const auto found = this->states.find(id);
    if (found == this->states.end())
        return false;
    const int extra = idempotent ? 0 : this->settings.nonIdempotentProbeFactor;
    return now >= found->second.nextProbe + extra * this->settings.probeInterval;
}

std::size_t OutlierDetector::ejectionLimit() const
{
    constexpr EjectionLimit limit{3, 2};
    return limit.of(this->serviceSize);
}

std::size_t OutlierDetector::ejectedCount() const
{
    const auto own = std::ranges::count_if(this->states,
                                           [](const auto &entry) { return entry.second.ejected; });
    return static_cast<std::size_t>(own) + this->ejectedElsewhere;
}

bool OutlierDetector::wholeDomainFailing(DomainId domain) const
{
    std::size_t observed = 0;
    for (const auto &[id, state] : this->states) {
        if (state.domain != domain)
            continue;
        ++observed;
        if (state.misses < this->settings.missLimit)
            return false;
    }
    // A single upstream is no evidence of a network fault of this instance.
    return observed > 1;
}

} // namespace bulrushgap
