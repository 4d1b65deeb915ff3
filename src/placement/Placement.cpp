#include "placement/Placement.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Upstreams looked at for one flow; more change the best load found only a little. */
constexpr std::size_t maxSamples = 24;

// Scores are in requests per slot; the penalties order upstreams that load can't make up for.
constexpr double flowWeight = 0.05; //!< A long flow runs a request in a small part of its time.
constexpr double otherDomainPenalty = 1.0;
constexpr double slowStartPenalty = 1.0;
constexpr double suspectPenalty = 100.0;
constexpr double triedDomainPenalty = 200.0;
constexpr double triedPenalty = 300.0;
constexpr double refusingPenalty = 1'000.0;
constexpr double tieBreak = 0.01;

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

Placement::Placement(UpstreamDirectory &directory, std::string domain, Random &random)
    : directory(directory)
    , domain(std::move(domain))
    , random(random)
{}

PlacementChoice Placement::choose(std::string_view service, const PlacementLimits &limits,
                                  TimePoint now)
{
    const auto candidates = this->directory.candidates(service);
    PlacementChoice choice;
    choice.candidates = candidates.size();
    if (candidates.size() <= internal::maxSamples) {
        for (const UpstreamIndex index : candidates)
            this->consider(index, limits, now, choice);
    } else {
        // Own failure domain first; the others only if nothing there answers.
        const std::size_t start = this->random() % candidates.size();
        std::size_t looked = 0;
        for (std::size_t i = 0; i < candidates.size() && looked < internal::maxSamples; ++i) {
            const UpstreamIndex index = candidates[(start + i) % candidates.size()];
            if (this->directory.at(index).entry.domain != this->domain)
                continue;
            this->consider(index, limits, now, choice);
            ++looked;
        }
        if (choice.upstream == noUpstream || choice.score >= internal::otherDomainPenalty) {
            for (std::size_t i = 0; i < internal::maxSamples; ++i)
                this->consider(candidates[(start + i) % candidates.size()], limits, now, choice);
        }
        // A refusal must be true of all of them.
        for (std::size_t i = 0; i < candidates.size() && choice.upstream == noUpstream; ++i)
            this->consider(candidates[i], limits, now, choice);
    }
    if (choice.upstream != noUpstream) {
        Upstream &upstream = this->directory.at(choice.upstream);
        if (now < upstream.coldUntil)
            static_cast<void>(upstream.coldBudget.take(now));
    }
    return choice;
}

void Placement::consider(UpstreamIndex index, const PlacementLimits &limits, TimePoint now,
                         PlacementChoice &choice)
{
    Upstream &upstream = this->directory.at(index);
    if (upstream.health.isProvenDead()) {
        ++choice.unreachable;
        return;
    }
    if (now < upstream.coldUntil && !upstream.coldBudget.available(now)) {
        ++choice.withoutBudget;
        return;
    }
    double score = this->scoreOf(upstream, limits, now);
    if (this->wasTried(index, limits))
        score += internal::triedPenalty;
    if (choice.upstream != noUpstream && score >= choice.score)
        return;
    choice.upstream = index;
    choice.score = score;
}

double Placement::scoreOf(const Upstream &upstream, const PlacementLimits &limits, TimePoint now)
{
    const double slots = std::max(1U, upstream.entry.slots);
    std::uniform_real_distribution<double> jitter(0.0, internal::tieBreak);
    double score = jitter(this->random);
    const double requests = upstream.outstanding + internal::flowWeight * upstream.openFlows;
    if (upstream.entry.domain == this->domain)
        score += requests * this->instancesPerDomain / slots;
    else
        score += requests * this->instancesPerDomain / slots + internal::otherDomainPenalty;
    if (now < upstream.coldUntil)
        score += internal::slowStartPenalty;
    score += internal::livenessPenalty(upstream.health.liveness());
    if (limits.avoidTriedDomains && this->isInTriedDomain(upstream, limits))
        score += internal::triedDomainPenalty;
    return score;
}

bool Placement::wasTried(UpstreamIndex index, const PlacementLimits &limits) const
{
    return std::ranges::find(limits.tried, index) != limits.tried.end();
}

bool Placement::isInTriedDomain(const Upstream &upstream, const PlacementLimits &limits) const
{
    return std::ranges::any_of(limits.tried, [&](UpstreamIndex tried) {
        return tried != noUpstream
               && this->directory.at(tried).entry.domain == upstream.entry.domain;
    });
}

} // namespace bulrushgap::balance
