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
constexpr double ejectedPenalty = 50.0;
constexpr double suspectPenalty = 100.0;
constexpr double triedDomainPenalty = 200.0;
constexpr double triedPenalty = 300.0;
constexpr double coldReturnPenalty = 900.0; //!< Beyond its budget, only if all others fail.
constexpr double refusingPenalty = 1'000.0;
constexpr double maxJitter = 0.01;

/** An upstream on trial has no load to compare and may be in another domain. */
constexpr double trialPreference = 2.0;

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

/** \returns whether the flow would test an ejected upstream; a caller whose earlier attempt failed
 * does not take part. */
bool isTrial(const Upstream &upstream, const PlacementConstraints &constraints, TimePoint now)
{
    return constraints.tried.empty() && upstream.ejection.isTrialDue(constraints.idempotent, now);
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
        const auto isLastResort = [&choice] {
            return choice.upstream == noUpstream || choice.score >= internal::coldReturnPenalty;
        };
        for (std::size_t i = 0; i < candidates.size() && isLastResort(); ++i)
            this->consider(candidates[i], constraints, now, choice);
    }
    if (choice.upstream != noUpstream) {
        Upstream &upstream = this->directory.at(choice.upstream);
        if (upstream.isCold(now))
            static_cast<void>(upstream.coldBudget.take(now));
        choice.isTrial = internal::isTrial(upstream, constraints, now);
        if (choice.isTrial)
            upstream.ejection.nextTrial = now + EjectionMark::trialTimeout;
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
    const bool withoutBudget = upstream.isCold(now) && !upstream.coldBudget.available(now);
    if (withoutBudget) {
        ++choice.withoutBudget;
        if (!upstream.isProbablyWarm(now))
            return;
    }
    double score = this->scoreOf(upstream, constraints, now);
    if (withoutBudget)
        score += internal::coldReturnPenalty;
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
    const double factor = this->usesLearnedCapacity ? upstream.capacity.factor(now) : 1.0;
    const double slots = std::max(1U, upstream.entry.slots) * factor;
    std::uniform_real_distribution<double> jitter(0.0, internal::maxJitter);
    double score = jitter(this->random);
    const double requests = upstream.outstanding + internal::flowWeight * upstream.openFlows;
    score += requests * this->instancesPerDomain / slots;
    // An idle upstream that is slow still takes longer than an idle one of the usual speed.
    score += 1.0 / slots - 1.0 / std::max(1U, upstream.entry.slots);
    if (upstream.entry.domain != this->domain)
        score += internal::crossDomainPenalty;
    if (upstream.isCold(now))
        score += internal::slowStartPenalty;
    score += internal::livenessPenalty(upstream.health.liveness());
    if (internal::isTrial(upstream, constraints, now))
        score -= internal::trialPreference;
    else if (upstream.ejection.ejected)
        score += internal::ejectedPenalty;
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
