#pragma once

#include "base/Time.h"
#include "directory/Upstream.h"
#include "directory/UpstreamDirectory.h"
#include "health/UpstreamHealth.h"
#include "reachability/ReferenceHistory.h"

#include <array>
#include <cstddef>
#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace bulrushgap::balance {

/** \brief A probe that did not connect. */
struct FailedProbe
{
    UpstreamIndex upstream = noUpstream;
    ProbeResult result = ProbeResult::TimedOut;
    TimePoint startedAt{};
    bool isReference = false; //!< Whether the upstream was not suspect itself.
    ServiceIndex service = 0; //!< Of the upstream.
};

/** \brief Change of a domain's reachability, for the log. */
struct ReachabilityChange
{
    DomainIndex domain = 0;
    bool unreachable = false;
    std::string_view evidence;       //!< For the log; a string literal.
    std::size_t failedUpstreams = 0; //!< Upstreams whose probes failed.
    TimePoint lastAnswer{};          //!< Before the change.
};

/** \brief Decides whether each failure domain is reachable from this instance.
 *
 * A domain is unreachable when probes of several of its upstreams have failed since one of them
 * last answered, while another domain accepted a connection. Performs no I/O, and keeps one entry
 * for each domain.
 */
class DomainReachability
{
public:
    using ChangeHandler = std::function<void(const ReachabilityChange &change, TimePoint now)>;

    /** Number of upstreams whose probes must have failed; all of them in a smaller domain. */
    static constexpr std::size_t requiredUpstreams = 3;

    explicit DomainReachability(ChangeHandler onChange);

    /** \brief Records an answer that a caller has acknowledged. */
    void onAnswer(DomainIndex domain, TimePoint now);

    /** \brief Records a probe that connected. */
    void onConnected(DomainIndex domain, TimePoint startedAt, TimePoint now);

    /** \brief Records that several upstreams of a silent domain are probed. */
    void onProbesStarted(DomainIndex domain, TimePoint now);

    /** \brief Records a probe that did not connect.
     * \param size what the domain has */
    void onProbeFailed(DomainIndex domain, const FailedProbe &probe, DomainSize size,
                       TimePoint now);

    /** \brief Makes a domain reachable that has no upstreams left to probe. */
    void onEmpty(DomainIndex domain, TimePoint now);

    /** \brief Discards failed probes, which are no evidence after a pause of this process. */
    void discardFailures();

    [[nodiscard]] bool isUnreachable(DomainIndex domain) const
    {
        return domain < this->domains.size() && this->domains[domain].unreachable;
    }

    /** \returns whether several upstreams are being probed and none has answered yet. */
    [[nodiscard]] bool isInDoubt(DomainIndex domain, TimePoint now) const;

    /** \returns whether a probe of an upstream other than \a upstream has failed since the last
     * answer of the domain, and one of another service if the domain has several: overload rarely
     * concerns all services. */
    [[nodiscard]] bool hasFailedBeside(DomainIndex domain, UpstreamIndex upstream,
                                       ServiceIndex service, DomainSize size) const;

    /** \returns whether a probe of the upstream has failed since the last answer of its domain. */
    [[nodiscard]] bool hasFailed(DomainIndex domain, UpstreamIndex upstream) const;

    /** \returns the last acknowledged answer or connected probe of the domain. */
    [[nodiscard]] TimePoint lastAnswer(DomainIndex domain) const
    {
        return domain < this->domains.size() ? this->domains[domain].answeredAt : TimePoint{};
    }

    /** \returns the number of domains of which anything was recorded; indexes are below it. */
    [[nodiscard]] DomainIndex domainCount() const
    {
        return static_cast<DomainIndex>(this->domains.size());
    }

    [[nodiscard]] std::size_t unreachableCount() const { return this->unreachable; }

    /** \returns the recent probes that connected, of all domains. */
    [[nodiscard]] const ReferenceHistory &references() const { return this->history; }

private:
    struct FailedUpstream
    {
        UpstreamIndex upstream = noUpstream;
        ServiceIndex service = 0;
    };

    struct Domain
    {
        TimePoint answeredAt{};      //!< Last acknowledged answer or connected probe.
        TimePoint probesStartedAt{}; //!< When several of its upstreams were probed.
        TimePoint firstFailureAt{};  //!< Start of the first failed probe that counts.
        TimePoint lastFailureAt{};   //!< Start of the last one.
        std::array<FailedUpstream, requiredUpstreams>
            failed{}; //!< The first failedUpstreams are set.
        std::size_t failedUpstreams = 0;
        std::size_t failedProbes = 0; //!< A refusal counts twice: it is not a lost packet.
        DomainSize size;
        bool referenceFailed = false;
        bool unreachable = false;
    };

    [[nodiscard]] Domain &entry(DomainIndex domain);
    [[nodiscard]] static std::span<const FailedUpstream> failedOf(const Domain &domain);
    static void addFailed(Domain &domain, FailedUpstream failed);
    [[nodiscard]] static bool hasFailedService(const Domain &domain, ServiceIndex beside);
    void recordAnswer(DomainIndex domain, std::string_view evidence, TimePoint now);
    void clearFailures(Domain &domain);
    void evaluate(DomainIndex domain, TimePoint now);
    [[nodiscard]] bool isProven(const Domain &domain) const;
    void setUnreachable(DomainIndex domain, bool unreachable, const ReachabilityChange &change,
                        TimePoint now);

    ChangeHandler onChange;
    ReferenceHistory history;
    std::vector<Domain> domains;
    std::size_t domainsWithFailures = 0; //!< Domains with failed probes since their last answer.
    std::size_t unreachable = 0;         //!< Unreachable domains.
};

} // namespace bulrushgap::balance
