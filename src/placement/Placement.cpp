#include "placement/Placement.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Upstreams sampled for one flow; larger samples barely improve the lowest load found. */
constexpr std::size_t maxSamples = 24;

// Scores are in requests per slot; penalties of 50 and more outweigh any usual difference in load.
/** A long-lived flow has a request running only a small part of the time. */
constexpr double flowWeight = 0.05;
constexpr double crossDomainPenalty = 1.0;
constexpr double slowStartPenalty = 1.0;
constexpr double ejectedPenalty = 50.0;
constexpr double suspectPenalty = 100.0;
constexpr double triedDomainPenalty = 200.0;
constexpr double triedPenalty = 300.0;
constexpr double coldReturnPenalty = 900.0; //!< Beyond its budget, only if all others fail.
constexpr double refusingPenalty = 1'000.0;
constexpr double maxJitter = 0.01;

/** At this learned factor or below, an explanation counts an upstream as slow. */
constexpr double slowCapacity = 0.5;

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

/** \brief Makes an upstream the choice if its score is lower. */
void preferLower(UpstreamIndex index, double score, PlacementChoice &choice)
{
    if (choice.upstream != noUpstream && score >= choice.score)
        return;
    choice.upstream = index;
    choice.score = score;
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
    if (upstream.isCold(now))
        upstream.coldBudget.refill(now);
    const Assessment assessment = this->assess(index, upstream, constraints, now);
    count(assessment, choice);
    if (assessment.exclusion != Exclusion::None)
        return;
    std::uniform_real_distribution<double> jitter(0.0, internal::maxJitter);
    internal::preferLower(index, assessment.score + jitter(this->random), choice);
}

Placement::Assessment Placement::assess(UpstreamIndex index, const Upstream &upstream,
                                        const PlacementConstraints &constraints,
                                        TimePoint now) const
{
    Assessment result;
    if (upstream.health.isConfirmedDown())
        result.exclusion = Exclusion::ConfirmedDown;
    else if (this->reachability.isUnreachable(upstream.domainIndex))
        result.exclusion = Exclusion::DomainUnreachable;
    if (result.exclusion != Exclusion::None)
        return result;
    result.withoutBudget = upstream.isCold(now) && !upstream.coldBudget.available(now);
    if (result.withoutBudget && !upstream.isProbablyWarm(now)) {
        result.exclusion = Exclusion::ColdWithoutBudget;
        return result;
    }
    result.score = this->scoreOf(upstream, constraints, now);
    if (result.withoutBudget)
        result.score += internal::coldReturnPenalty;
    if (this->wasTried(index, constraints))
        result.score += internal::triedPenalty;
    return result;
}

void Placement::count(const Assessment &assessment, PlacementChoice &choice)
{
    const bool isUnreachable = assessment.exclusion == Exclusion::ConfirmedDown
                               || assessment.exclusion == Exclusion::DomainUnreachable;
    choice.unreachable += isUnreachable ? 1 : 0;
    choice.withoutBudget += assessment.withoutBudget ? 1 : 0;
}

PlacementExplanation Placement::explain(std::string_view service,
                                        const PlacementConstraints &constraints,
                                        const WarmCheck &isKnownWarm, TimePoint now) const
{
    PlacementExplanation result;
    result.service = service;
    result.excluded = this->ineligible(service);
    const auto candidates = this->directory.candidates(service);
    result.choice.candidates = candidates.size();
    result.sampled = candidates.size() > internal::maxSamples;
    for (const UpstreamIndex index : candidates) {
        Upstream upstream = this->directory.at(index);
        if (isKnownWarm(upstream))
            upstream.coldReturn.reset();
        this->explainCandidate(index, upstream, constraints, now, result);
    }
    std::ranges::stable_sort(result.best, {}, &PlacementCandidate::score);
    result.best.resize(std::min(result.best.size(), PlacementExplanation::maxBest));
    if (result.choice.upstream != noUpstream)
        result.choice.isTrial
            = internal::isTrial(this->directory.at(result.choice.upstream), constraints, now);
    return result;
}

void Placement::explainCandidate(UpstreamIndex index, const Upstream &upstream,
                                 const PlacementConstraints &constraints, TimePoint now,
                                 PlacementExplanation &result) const
{
    const Assessment assessment = this->assess(index, upstream, constraints, now);
    count(assessment, result.choice);
    count(assessment, result.excluded);
    if (assessment.exclusion != Exclusion::None)
        return;
    internal::preferLower(index, assessment.score, result.choice);
    result.best.push_back(this->describe(upstream, assessment.score, now));
    this->countAvoided(upstream, now, result.avoided);
    result.avoided.probablyWarm += assessment.withoutBudget ? 1 : 0;
    result.avoided.triedByThisCaller += this->wasTried(index, constraints) ? 1 : 0;
}

void Placement::count(const Assessment &assessment, PlacementExclusions &excluded)
{
    switch (assessment.exclusion) {
    case Exclusion::None:
        break;
    case Exclusion::ConfirmedDown:
        ++excluded.confirmedDown;
        break;
    case Exclusion::DomainUnreachable:
        ++excluded.domainUnreachable;
        break;
    case Exclusion::ColdWithoutBudget:
        ++excluded.coldWithoutBudget;
        break;
    }
}

PlacementExclusions Placement::ineligible(std::string_view service) const
{
    PlacementExclusions excluded;
    for (UpstreamIndex index = 0; index < this->directory.size(); ++index) {
        if (this->directory.at(index).entry.service != service)
            continue;
        const Eligibility eligibility = this->directory.eligibility(index);
        excluded.draining += eligibility == Eligibility::Draining ? 1 : 0;
        excluded.evacuated += eligibility == Eligibility::Evacuated ? 1 : 0;
        excluded.ambiguousTag += eligibility == Eligibility::AmbiguousTag ? 1 : 0;
    }
    return excluded;
}

void Placement::countAvoided(const Upstream &upstream, TimePoint now,
                             PlacementAvoidance &avoided) const
{
    avoided.ejected += upstream.ejection.ejected ? 1 : 0;
    avoided.suspect += upstream.health.liveness() != Liveness::Alive ? 1 : 0;
    avoided.slow += this->capacityOf(upstream, now) <= internal::slowCapacity ? 1 : 0;
}

PlacementCandidate Placement::describe(const Upstream &upstream, double score, TimePoint now) const
{
    return {upstream.entry.name,
            upstream.entry.domain,
            score,
            upstream.outstanding,
            upstream.openFlows,
            upstream.entry.slots,
            this->capacityOf(upstream, now),
            upstream.health.liveness(),
            upstream.isCold(now),
            upstream.ejection.ejected};
}

double Placement::capacityOf(const Upstream &upstream, TimePoint now) const
{
    return this->usesLearnedCapacity ? upstream.capacity.factor(now) : 1.0;
}

double Placement::scoreOf(const Upstream &upstream, const PlacementConstraints &constraints,
                          TimePoint now) const
{
    const double slots = std::max(1U, upstream.entry.slots) * this->capacityOf(upstream, now);
    const double requests = upstream.outstanding + internal::flowWeight * upstream.openFlows;
    double score = requests * this->instancesPerDomain / slots;
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
