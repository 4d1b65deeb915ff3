#include "reachability/DomainReachability.h"

#include <algorithm>
#include <span>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Failed probes count together only within this period: single lost packets, minutes apart, are no
 * partition. */
constexpr Duration failureWindow = std::chrono::seconds(1);

/** Shortest time without an answer: an overloaded domain may refuse several probes within
 * milliseconds and go on answering its flows. */
constexpr Duration minSilence = std::chrono::milliseconds(100);

/** A probe times out after 110 ms. If the domain is not unreachable by then, this instance may be
 * isolated, and no domain is better than another. */
constexpr Duration maxDoubt = std::chrono::milliseconds(200);

} // namespace internal

DomainReachability::DomainReachability(ChangeHandler onChange)
    : onChange(std::move(onChange))
{}

void DomainReachability::onAnswer(DomainIndex domain, TimePoint now)
{
    this->recordAnswer(domain, "answer_acknowledged", now);
}

void DomainReachability::onConnected(DomainIndex domain, TimePoint startedAt, TimePoint now)
{
    this->recordAnswer(domain, "probe_connected", now);
    this->history.add(domain, startedAt, now);
    if (this->domainsWithFailures == 0)
        return;
    for (std::size_t other = 0; other < this->domains.size(); ++other)
        this->evaluate(static_cast<DomainIndex>(other), now);
}

void DomainReachability::onProbesStarted(DomainIndex domain, TimePoint now)
{
    this->entry(domain).probesStartedAt = now;
}

bool DomainReachability::isInDoubt(DomainIndex domain, TimePoint now) const
{
    if (domain >= this->domains.size())
        return false;
    const Domain &subject = this->domains[domain];
    return subject.probesStartedAt > subject.answeredAt
           && now - subject.probesStartedAt < internal::maxDoubt;
}

void DomainReachability::onProbeFailed(DomainIndex domain, const FailedProbe &probe,
                                       DomainSize size, TimePoint now)
{
    Domain &subject = this->entry(domain);
    if (subject.unreachable || probe.startedAt <= subject.answeredAt)
        return;
    if (probe.startedAt - subject.firstFailureAt > internal::failureWindow)
        this->clearFailures(subject);
    if (subject.failedProbes == 0) {
        subject.firstFailureAt = probe.startedAt;
        ++this->domainsWithFailures;
    }
    subject.size = size;
    subject.lastFailureAt = std::max(subject.lastFailureAt, probe.startedAt);
    subject.failedProbes += probe.result == ProbeResult::Refused ? 2 : 1;
    subject.referenceFailed = subject.referenceFailed || probe.isReference;
    if (!this->hasFailed(domain, probe.upstream))
        addFailed(subject, {probe.upstream, probe.service});
    this->evaluate(domain, now);
}

void DomainReachability::onEmpty(DomainIndex domain, TimePoint now)
{
    Domain &subject = this->entry(domain);
    if (subject.unreachable)
        this->setUnreachable(domain, false, {domain, false, "no_upstream", 0, subject.answeredAt},
                             now);
}

void DomainReachability::discardFailures()
{
    for (Domain &domain : this->domains)
        this->clearFailures(domain);
}

std::span<const DomainReachability::FailedUpstream>
DomainReachability::failedOf(const Domain &domain)
{
    return std::span(domain.failed).first(domain.failedUpstreams);
}

void DomainReachability::addFailed(Domain &domain, FailedUpstream failed)
{
    if (domain.failedUpstreams < requiredUpstreams)
        domain.failed.at(domain.failedUpstreams++) = failed;
    else if (!hasFailedService(domain, domain.failed.front().service))
        domain.failed.back() = failed;
}

bool DomainReachability::hasFailedService(const Domain &domain, ServiceIndex beside)
{
    return std::ranges::any_of(failedOf(domain), [beside](const FailedUpstream &failed) {
        return failed.service != beside;
    });
}

bool DomainReachability::hasFailed(DomainIndex domain, UpstreamIndex upstream) const
{
    if (domain >= this->domains.size())
        return false;
    const auto failed = failedOf(this->domains[domain]);
    return std::ranges::find(failed, upstream, &FailedUpstream::upstream) != failed.end();
}

bool DomainReachability::hasFailedBeside(DomainIndex domain, UpstreamIndex upstream,
                                         ServiceIndex service, DomainSize size) const
{
    if (domain >= this->domains.size())
        return false;
    const Domain &subject = this->domains[domain];
    // The upstreams that failed before the verdict are not kept after it.
    if (subject.unreachable)
        return true;
    if (size.services > 1)
        return hasFailedService(subject, service);
    return subject.failedUpstreams > (this->hasFailed(domain, upstream) ? 1U : 0U);
}

DomainReachability::Domain &DomainReachability::entry(DomainIndex domain)
{
    if (domain >= this->domains.size())
        this->domains.resize(domain + std::size_t{1});
    return this->domains[domain];
}

void DomainReachability::recordAnswer(DomainIndex domain, std::string_view evidence, TimePoint now)
{
    Domain &subject = this->entry(domain);
    const TimePoint before = std::exchange(subject.answeredAt, now);
    this->clearFailures(subject);
    if (subject.unreachable)
        this->setUnreachable(domain, false, {domain, false, evidence, 0, before}, now);
}

void DomainReachability::clearFailures(Domain &domain)
{
    if (domain.failedProbes == 0)
        return;
    --this->domainsWithFailures;
    domain.failedProbes = 0;
    domain.failedUpstreams = 0;
    domain.lastFailureAt = TimePoint{};
    domain.referenceFailed = false;
}

void DomainReachability::evaluate(DomainIndex domain, TimePoint now)
{
    Domain &subject = this->domains[domain];
    const bool silent = now - subject.answeredAt >= internal::minSilence;
    if (subject.unreachable || !silent || !this->isProven(subject)
        || !this->history.hasNearOutside(domain, subject.lastFailureAt))
        return;
    const ReachabilityChange change{domain, true, "probes", subject.failedUpstreams,
                                    subject.answeredAt};
    this->clearFailures(subject);
    this->setUnreachable(domain, true, change, now);
}

bool DomainReachability::isProven(const Domain &domain) const
{
    const std::size_t required = std::min(requiredUpstreams, domain.size.upstreams);
    if (required == 0 || domain.failedUpstreams < required)
        return false;
    // On a lossy link one probe of each upstream may be lost; therefore one more must have failed.
    if (domain.failedProbes <= required)
        return false;
    // Several upstreams may have failed at the same time although their domain is reachable;
    // therefore the probe of an upstream that was not suspect must have failed as well.
    if (!domain.referenceFailed && domain.failedUpstreams < domain.size.upstreams)
        return false;
    // The upstreams of one service may be overloaded and refuse connections.
    return domain.size.services < 2 || hasFailedService(domain, domain.failed.front().service);
}

void DomainReachability::setUnreachable(DomainIndex domain, bool isUnreachable,
                                        const ReachabilityChange &change, TimePoint now)
{
    this->domains[domain].unreachable = isUnreachable;
    this->unreachable = isUnreachable ? this->unreachable + 1 : this->unreachable - 1;
    if (this->onChange)
        this->onChange(change, now);
}

} // namespace bulrushgap::balance
