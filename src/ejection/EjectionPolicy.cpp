#include "ejection/EjectionPolicy.h"

#include "ejection/EjectionLimit.h"

#include <algorithm>
#include <array>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** A single failure may be due to the request or its caller. */
constexpr std::uint32_t minFailures = 2;

/** All instances of a domain act on the same reports, so a coincidence would affect all of them. */
constexpr std::uint32_t minSharedFailures = 3;

constexpr double minFailedShare = 0.1;
constexpr double serviceShareFactor = 3.0;

/** At this share of the other upstreams no upstream can fail three times as often. */
constexpr double serviceWideShare = 1.0 / serviceShareFactor;
constexpr std::uint32_t minServiceWideRequests = 10;

constexpr EjectionLimit ejectionLimit{.divisor = 5, .minUpstreams = 3};

/** Time in which the reports of all instances of a domain arrive. */
constexpr Duration reportTime = std::chrono::seconds(2);

constexpr Duration firstDelay = std::chrono::seconds(2);
constexpr unsigned maxLevel = 3; // A delay of 16 s.

/** A later ejection starts with the first delay again. */
constexpr Duration levelRetention = std::chrono::seconds(30);
constexpr unsigned answersToReturn = 3;

/** The next instance places trials after this time if no outcome of one became known. */
constexpr Duration takeoverDelay = std::chrono::seconds(4);
constexpr unsigned maxTakeovers = 6; // 24 s, less than maxWithoutTrial.

/** An ejection without outcomes of trials must not use up the limit. */
constexpr Duration maxWithoutTrial = std::chrono::seconds(30);

/** \returns the failed share, rounded down while few requests are known. */
double failedShare(const OutcomeCounts &counts)
{
    return counts.failures / (counts.requests + 1.0);
}

bool isFailing(const OutcomeCounts &counts, double serviceShare)
{
    const double needed = std::max(minFailedShare, serviceShareFactor * serviceShare);
    return counts.failures >= minFailures && failedShare(counts) >= needed;
}

} // namespace internal

std::string_view toString(EjectionEvidence evidence)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(EjectionEvidence::Count)>
        names{"own", "shared", "trial", "service_wide", "expired", "told"};
    return names.at(static_cast<std::size_t>(evidence));
}

double EjectionPolicy::ServiceView::cautiousShare() const
{
    return (this->own.failures + 1.0) / (this->own.requests + 1.0);
}

double EjectionPolicy::ServiceView::share() const
{
    return this->own.requests == 0 ? 0.0
                                   : static_cast<double>(this->own.failures) / this->own.requests;
}

bool EjectionPolicy::ServiceView::failsAsWhole() const
{
    return this->own.requests >= internal::minServiceWideRequests
           && this->share() >= internal::serviceWideShare;
}

EjectionPolicy::EjectionPolicy(UpstreamDirectory &directory, Counters &counters,
                               EjectionHooks hooks)
    : directory(directory)
    , counters(counters)
    , hooks(std::move(hooks))
{}

void EjectionPolicy::observe(const RequestObservation &observation, TimePoint now)
{
    const UpstreamIndex upstream = observation.upstream;
    const bool failed = observation.outcome != RequestOutcome::Answered;
    State &state = this->stateOf(upstream);
    state.own.add({failed ? 1U : 0U, 1}, now);
    ++state.unreported;
    if (failed) {
        this->recordFailure(upstream, now);
        this->reportOwn(upstream, true, now);
    }
    if (this->directory.at(upstream).ejection.ejected)
        this->observeEjected(upstream, failed, now);
    else if (failed)
        this->evaluate(upstream, now);
}

void EjectionPolicy::addReported(UpstreamIndex upstream, const OutcomeCounts &counts, TimePoint now)
{
    this->stateOf(upstream).reported.add(counts, now);
    if (counts.failures == 0)
        return;
    this->recordFailure(upstream, now);
    // The share of the upstream needs the requests of the instances that saw no failure as well.
    this->reportOwn(upstream, false, now);
    if (this->directory.at(upstream).ejection.ejected)
        this->observeEjected(upstream, true, now);
    else
        this->evaluate(upstream, now);
}

void EjectionPolicy::recordFailure(UpstreamIndex upstream, TimePoint now)
{
    State &state = this->stateOf(upstream);
    if (now - state.failedAt > OutcomeWindow::length)
        state.failingSince = now;
    state.failedAt = now;
}

void EjectionPolicy::reportOwn(UpstreamIndex upstream, bool failed, TimePoint now)
{
    State &state = this->stateOf(upstream);
    const std::uint32_t recent = state.own.total(now).requests;
    const std::uint32_t requests = std::min(std::exchange(state.unreported, 0), recent);
    if (requests == 0)
        return;
    // An instance that sees most upstreams fail may be at fault itself.
    if (failed && this->serviceOf(upstream, now).failsAsWhole())
        return;
    this->hooks.report(upstream, {failed ? 1U : 0U, requests});
}

void EjectionPolicy::adopt(UpstreamIndex upstream, Duration delay, TimePoint now)
{
    Upstream &subject = this->directory.at(upstream);
    if (subject.ejection.ejected)
        return;
    const ServiceView view = this->serviceOf(upstream, now);
    if (view.ejected >= view.limit) {
        this->counters.add("ejection_limit");
        return;
    }
    EjectionChange change;
    change.evidence = EjectionEvidence::Reported;
    this->startDelay(upstream, delay, change, now);
}

void EjectionPolicy::onReportedReturn(UpstreamIndex upstream, TimePoint now)
{
    if (this->directory.at(upstream).ejection.ejected)
        this->reinstate(upstream, EjectionEvidence::Reported, now);
}

void EjectionPolicy::visitEjected(
    const std::function<void(UpstreamIndex upstream, Duration delay)> &visit, TimePoint now) const
{
    for (std::size_t i = 0; i < this->states.size(); ++i) {
        const auto index = static_cast<UpstreamIndex>(i);
        if (this->directory.at(index).ejection.ejected)
            visit(index,
                  std::max<Duration>(std::chrono::milliseconds(1), this->states[i].delayEnd - now));
    }
}

void EjectionPolicy::observeEjected(UpstreamIndex upstream, bool failed, TimePoint now)
{
    State &state = this->stateOf(upstream);
    // Until the delay ends, the request belongs to a flow that was open before the ejection.
    if (now < state.delayEnd)
        return;
    if (failed) {
        EjectionChange change;
        change.evidence = EjectionEvidence::Trial;
        change.failures = 1;
        change.requests = state.answers + 1;
        return this->eject(upstream, change, now);
    }
    // Flows that are open on other instances must not bring the upstream back by chance.
    if (!state.onTrial)
        return;
    if (++state.answers >= internal::answersToReturn)
        return this->reinstate(upstream, EjectionEvidence::Trial, now);
    EjectionMark &mark = this->directory.at(upstream).ejection;
    mark.nextTrial = std::min(mark.nextTrial, now);
}

void EjectionPolicy::onTrialPlaced(UpstreamIndex upstream)
{
    this->counters.add("ejection_trial");
    this->stateOf(upstream).onTrial = true;
    EjectionChange change;
    change.kind = EjectionChange::Kind::OnTrial;
    change.upstream = upstream;
    change.evidence = EjectionEvidence::Trial;
    change.requests = this->stateOf(upstream).answers + 1;
    this->hooks.onChange(change);
}

void EjectionPolicy::evaluate(UpstreamIndex upstream, TimePoint now)
{
    State &state = this->stateOf(upstream);
    const OutcomeCounts own = state.own.total(now);
    OutcomeCounts all = state.reported.total(now);
    const bool hasReports = all.requests > 0;
    all += own;
    if (all.failures < internal::minFailures)
        return;
    const std::string &service = this->directory.at(upstream).entry.service;
    this->reinstateExpired(service, now);
    const ServiceView view = this->serviceOf(upstream, now);
    if (view.failsAsWhole())
        return this->reinstateService(service, now);

    // Other instances report their requests after the first failure; until then these are
    // estimated.
    const double expected = view.requestsOfOne * this->instancesPerDomain;
    const bool complete = now - state.failingSince >= internal::reportTime;
    if (hasReports && !complete)
        all.requests = std::max(all.requests, static_cast<std::uint32_t>(expected));
    const double serviceShare = view.cautiousShare();
    const bool byOwn = internal::isFailing(own, serviceShare);
    const bool byAll = hasReports && all.failures >= internal::minSharedFailures
                       && internal::isFailing(all, serviceShare);
    if (!byOwn && !byAll)
        return;
    if (view.ejected >= view.limit) {
        this->counters.add("ejection_limit");
        return;
    }
    EjectionChange change;
    change.evidence = byOwn ? EjectionEvidence::Own : EjectionEvidence::Shared;
    change.failures = byOwn ? own.failures : all.failures;
    change.requests = byOwn ? own.requests : all.requests;
    change.serviceShare = view.share();
    this->eject(upstream, change, now);
}

EjectionPolicy::ServiceView EjectionPolicy::serviceOf(UpstreamIndex upstream, TimePoint now)
{
    const UpstreamEntry &entry = this->directory.at(upstream).entry;
    const auto candidates = this->directory.candidates(entry.service);
    ServiceView view;
    view.limit = internal::ejectionLimit.of(candidates.size());
    std::uint32_t domainRequests = 0;
    std::size_t domainUpstreams = 0;
    for (const UpstreamIndex index : candidates) {
        const Upstream &other = this->directory.at(index);
        if (other.ejection.ejected)
            ++view.ejected;
        if (index == upstream || other.ejection.ejected)
            continue;
        const OutcomeCounts own = this->stateOf(index).own.total(now);
        view.own += own;
        if (other.entry.domain != entry.domain)
            continue;
        domainRequests += own.requests;
        ++domainUpstreams;
    }
    if (domainUpstreams > 0)
        view.requestsOfOne = static_cast<double>(domainRequests) / domainUpstreams;
    return view;
}

void EjectionPolicy::eject(UpstreamIndex upstream, EjectionChange change, TimePoint now)
{
    State &state = this->stateOf(upstream);
    const bool again
        = state.delayEnd != TimePoint{} && now - state.delayEnd < internal::levelRetention;
    state.level = again ? std::min(internal::maxLevel, state.level + 1) : 0;
    this->startDelay(upstream, internal::firstDelay * (1 << state.level), change, now);
}

void EjectionPolicy::startDelay(UpstreamIndex upstream, Duration delay, EjectionChange change,
                                TimePoint now)
{
    State &state = this->stateOf(upstream);
    state.delayEnd = now + delay;
    state.onTrial = false;
    state.answers = 0;
    Upstream &subject = this->directory.at(upstream);
    const unsigned rank = this->hooks.trialRank(subject.entry.name);
    const unsigned takeovers = std::min(rank, internal::maxTakeovers);
    subject.ejection = {true, state.delayEnd + takeovers * internal::takeoverDelay};
    this->counters.add("ejected");
    change.kind = EjectionChange::Kind::Ejected;
    change.upstream = upstream;
    change.delay = delay;
    this->hooks.onChange(change);
}

void EjectionPolicy::reinstate(UpstreamIndex upstream, EjectionEvidence evidence, TimePoint now)
{
    State &state = this->stateOf(upstream);
    EjectionChange change;
    change.kind = EjectionChange::Kind::Reinstated;
    change.upstream = upstream;
    change.evidence = evidence;
    change.requests = state.answers;
    state.own.clear();
    state.reported.clear();
    state.answers = 0;
    state.delayEnd = std::min(state.delayEnd, now);
    this->directory.at(upstream).ejection = {};
    this->hooks.onChange(change);
}

void EjectionPolicy::reinstateExpired(std::string_view service, TimePoint now)
{
    for (const UpstreamIndex index : this->directory.candidates(service)) {
        const bool isEjected = this->directory.at(index).ejection.ejected;
        if (isEjected && now - this->stateOf(index).delayEnd > internal::maxWithoutTrial)
            this->reinstate(index, EjectionEvidence::Expired, now);
    }
}

void EjectionPolicy::reinstateService(std::string_view service, TimePoint now)
{
    for (const UpstreamIndex index : this->directory.candidates(service)) {
        if (this->directory.at(index).ejection.ejected)
            this->reinstate(index, EjectionEvidence::ServiceWide, now);
    }
}

void EjectionPolicy::forget(UpstreamIndex upstream)
{
    this->stateOf(upstream) = {};
    this->directory.at(upstream).ejection = {};
}

std::size_t EjectionPolicy::ejectedCount() const
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < this->directory.size(); ++i) {
        const Upstream &upstream = this->directory.at(static_cast<UpstreamIndex>(i));
        if (upstream.ejection.ejected)
            ++count;
    }
    return count;
}

EjectionPolicy::State &EjectionPolicy::stateOf(UpstreamIndex upstream)
{
    if (upstream >= this->states.size())
        this->states.resize(this->directory.size());
    return this->states[upstream];
}

} // namespace bulrushgap::balance
