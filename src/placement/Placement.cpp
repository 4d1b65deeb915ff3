#include "placement/Placement.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Upstreams sampled for one flow; larger samples barely improve the lowest load found. */
constexpr std::size_t maxSamples = 24;

// Scores are in requests per slot; penalties outweigh any difference in load.
constexpr double flowWeight
    = 0.05; //!< A long-lived flow has a request running only a small part of the time.
constexpr double crossDomainPenalty = 1.0;
constexpr double slowStartPenalty = 1.0;
constexpr double suspectPenalty = 100.0;
constexpr double triedDomainPenalty = 200.0;
constexpr double triedPenalty = 300.0;
constexpr double refusingPenalty = 1'000.0;
constexpr double maxJitter = 0.01;

double livenessPenalty(Liveness liveness)
{
    switch (liveness) {
    case Liveness::Alive:
        return 0.0;
    case Liveness::Suspect:
        return suspectPenalty;
    case Liveness::Refusing:
    case Liveness::Unreachable:
        return refusingPenalty;
    }
    return 0.0;
}

} // namespace internal

Placement::Placement(UpstreamDirectory &directory, const DomainReachability &reachability,
                     std::string domain, Random &random)
    : directory(directory)
    , reachability(reachability)
    , domain(std::move(domain))
    , random(random)
{}

PlacementChoice Placement::choose(std::string_view service, const PlacementConstraints &constraints,
                                  TimePoint now)
{
    const auto candidates = this->directory.candidates(service);
    PlacementChoice choice;
    choice.candidates = candidates.size();
    if (candidates.size() <= internal::maxSamples) {
        for (const UpstreamIndex index : candidates)
            this->consider(index, constraints, now, choice);
    } else {
        // Sample the own failure domain first, others only if it has no good candidate.
        const std::size_t start = this->random() % candidates.size();
        std::size_t sampled = 0;
        for (std::size_t i = 0; i < candidates.size() && sampled < internal::maxSamples; ++i) {
            const UpstreamIndex index = candidates[(start + i) % candidates.size()];
            if (this->directory.at(index).entry.domain != this->domain)
                continue;
            this->consider(index, constraints, now, choice);
            ++sampled;
        }
        if (choice.upstream == noUpstream || choice.score >= internal::crossDomainPenalty) {
            for (std::size_t i = 0; i < internal::maxSamples; ++i)
                this->consider(candidates[(start + i) % candidates.size()], constraints, now,
                               choice);
        }
        // Refuse the flow only after every candidate was considered.
        for (std::size_t i = 0; i < candidates.size() && choice.upstream == noUpstream; ++i)
            this->consider(candidates[i], constraints, now, choice);
    }
    if (choice.upstream != noUpstream) {
        Upstream &upstream = this->directory.at(choice.upstream);
        if (now < upstream.coldUntil)
            static_cast<void>(upstream.coldBudget.take(now));
    }
    return choice;
}

void Placement::consider(UpstreamIndex index, const PlacementConstraints &constraints,
                         TimePoint now, PlacementChoice &choice)
{
    Upstream &upstream = this->directory.at(index);
    if (upstream.health.isConfirmedDown()
        || this->reachability.isUnreachable(upstream.domainIndex)) {
        ++choice.unreachable;
        return;
    }
    if (now < upstream.coldUntil && !upstream.coldBudget.available(now)) {
        ++choice.withoutBudget;
        return;
    }
    double score = this->scoreOf(upstream, constraints, now);
    if (this->wasTried(index, constraints))
        score += internal::triedPenalty;
    if (choice.upstream != noUpstream && score >= choice.score)
        return;
    choice.upstream = index;
    choice.score = score;
}

double Placement::scoreOf(const Upstream &upstream, const PlacementConstraints &constraints,
                          TimePoint now)
{
    const double slots = std::max(1U, upstream.entry.slots);
    std::uniform_real_distribution<double> jitter(0.0, internal::maxJitter);
    double score = jitter(this->random);
    const double requests = upstream.outstanding + internal::flowWeight * upstream.openFlows;
    if (upstream.entry.domain == this->domain)
        score += requests * this->instancesPerDomain / slots;
    else
        score += requests * this->instancesPerDomain / slots + internal::crossDomainPenalty;
    if (now < upstream.coldUntil)
        score += internal::slowStartPenalty;
    score += internal::livenessPenalty(upstream.health.liveness());
    if (this->reachability.isInDoubt(upstream.domainIndex, now))
        score += internal::suspectPenalty;
    if (constraints.avoidTriedDomains && this->isInTriedDomain(upstream, constraints))
        score += internal::triedDomainPenalty;
    return score;
}

bool Placement::wasTried(UpstreamIndex index, const PlacementConstraints &constraints) const
{
    return std::ranges::find(constraints.tried, index) != constraints.tried.end();
}

bool Placement::isInTriedDomain(const Upstream &upstream,
                                const PlacementConstraints &constraints) const
{
    return std::ranges::any_of(constraints.tried, [&](UpstreamIndex tried) {
        return tried != noUpstream
               && this->directory.at(tried).entry.domain == upstream.entry.domain;
    });
}

} // namespace bulrushgap::balance
