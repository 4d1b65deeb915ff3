#include "reachability/DomainProbes.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Upstreams examined per search, unless none of them is suitable. */
constexpr std::size_t maxSamples = 32;

/** An upstream of the own domain is the reference if it answered within this time. */
constexpr Duration freshAnswer = std::chrono::seconds(2);

/** Shortest interval between two selections of neighbours in one domain: in a partition many
 * upstreams become suspect at the same time. */
constexpr Duration neighbourInterval = std::chrono::milliseconds(100);

} // namespace internal

DomainProbes::DomainProbes(const UpstreamDirectory &directory,
                           const DomainReachability &reachability, std::string domain)
    : directory(directory)
    , reachability(reachability)
    , domain(std::move(domain))
{}

UpstreamIndex DomainProbes::reference(UpstreamIndex subject, TimePoint now)
{
    if (this->directory.at(subject).entry.domain != this->domain) {
        const UpstreamIndex own = this->freshest([&](const Upstream &candidate) {
            return candidate.entry.domain == this->domain
                   && now - candidate.health.lastAnswer() < internal::freshAnswer;
        });
        if (own != noUpstream)
            return own;
        const UpstreamIndex other = this->outside(subject);
        if (other != noUpstream)
            return other;
    }
    const Upstream *excluded = &this->directory.at(subject);
    return this->freshest([&](const Upstream &candidate) { return &candidate != excluded; });
}

UpstreamIndex DomainProbes::outside(UpstreamIndex subject)
{
    const DomainIndex excluded = this->directory.at(subject).domainIndex;
    return this->freshest(
        [&](const Upstream &candidate) { return candidate.domainIndex != excluded; });
}

DomainProbes::Selection DomainProbes::neighbours(UpstreamIndex subject, TimePoint now)
{
    Selection best;
    best.fill(noUpstream);
    DomainState &domainState = this->state(this->directory.at(subject).domainIndex);
    if (now - domainState.neighboursAt < internal::neighbourInterval)
        return best;
    domainState.neighboursAt = now;
    const std::size_t size = this->directory.size();
    UpstreamIndex ofOtherService = noUpstream;
    for (std::size_t i = 0; i < size; ++i) {
        const auto index = static_cast<UpstreamIndex>((domainState.neighboursStart + i) % size);
        if (!this->isNeighbour(index, subject))
            continue;
        this->insert(index, best);
        if (this->isOfOtherService(index, subject)
            && (ofOtherService == noUpstream || this->isFresher(index, ofOtherService)))
            ofOtherService = index;
    }
    const bool hasOtherService = std::ranges::any_of(best, [&](UpstreamIndex upstream) {
        return upstream != noUpstream && this->isOfOtherService(upstream, subject);
    });
    if (!hasOtherService && ofOtherService != noUpstream)
        best.back() = ofOtherService;
    // Other upstreams next time, where several answered at the same time or never.
    domainState.neighboursStart += DomainProbes::maxNeighbours;
    return best;
}

void DomainProbes::insert(UpstreamIndex upstream, Selection &best) const
{
    for (UpstreamIndex &place : best) {
        if (place == noUpstream || this->isFresher(upstream, place))
            std::swap(place, upstream);
        if (upstream == noUpstream)
            return;
    }
}

bool DomainProbes::isOfOtherService(UpstreamIndex upstream, UpstreamIndex subject) const
{
    return this->directory.at(upstream).serviceIndex != this->directory.at(subject).serviceIndex;
}

bool DomainProbes::isNeighbour(UpstreamIndex upstream, UpstreamIndex subject) const
{
    const Upstream &candidate = this->directory.at(upstream);
    const DomainIndex sought = this->directory.at(subject).domainIndex;
    return upstream != subject && candidate.registered && candidate.domainIndex == sought
           && !this->reachability.hasFailed(sought, upstream);
}

UpstreamIndex DomainProbes::next(DomainIndex sought)
{
    UpstreamIndex &index = this->state(sought).lastChecked;
    for (std::size_t i = 0; i < this->directory.size(); ++i) {
        index = static_cast<UpstreamIndex>((index + 1) % this->directory.size());
        const Upstream &candidate = this->directory.at(index);
        if (candidate.registered && candidate.domainIndex == sought)
            return index;
    }
    return noUpstream;
}

DomainProbes::DomainState &DomainProbes::state(DomainIndex sought)
{
    if (sought >= this->states.size())
        this->states.resize(sought + std::size_t{1});
    return this->states[sought];
}

template <typename Predicate>
UpstreamIndex DomainProbes::freshest(Predicate isSuitable)
{
    UpstreamIndex best = noUpstream;
    for (std::size_t i = 0; i < this->directory.size(); ++i) {
        if (i >= internal::maxSamples && best != noUpstream)
            break;
        this->searchStart
            = static_cast<UpstreamIndex>((this->searchStart + 1) % this->directory.size());
        const Upstream &candidate = this->directory.at(this->searchStart);
        if (!this->isUsable(candidate) || !isSuitable(candidate))
            continue;
        if (best == noUpstream || this->isFresher(this->searchStart, best))
            best = this->searchStart;
    }
    return best;
}

bool DomainProbes::isUsable(const Upstream &upstream) const
{
    return upstream.registered && upstream.health.liveness() == Liveness::Alive
           && !this->reachability.isUnreachable(upstream.domainIndex);
}

bool DomainProbes::isFresher(UpstreamIndex upstream, UpstreamIndex than) const
{
    const UpstreamHealth &first = this->directory.at(upstream).health;
    const UpstreamHealth &second = this->directory.at(than).health;
    const bool firstAlive = first.liveness() == Liveness::Alive;
    const bool secondAlive = second.liveness() == Liveness::Alive;
    if (firstAlive != secondAlive)
        return firstAlive;
    return first.lastAnswer() > second.lastAnswer();
}

} // namespace bulrushgap::balance
