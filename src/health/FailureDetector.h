#pragma once

#include "base/Time.h"
#include "directory/Upstream.h"
#include "directory/UpstreamDirectory.h"
#include "health/UpstreamHealth.h"
#include "reachability/DomainProbes.h"
#include "reachability/DomainReachability.h"
#include "reachability/InstanceConnectivity.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::balance {

/** \brief Callbacks of FailureDetector. */
struct FailureDetectorHooks
{
    /** Starts a connection probe of an upstream; the result goes to FailureDetector::onProbeResult.
     */
    std::function<void(UpstreamIndex upstream)> startProbe;

    /** Probes an upstream to check this instance's own connectivity or that of a failure domain;
     * the result goes to FailureDetector::onReferenceResult. */
    std::function<void(UpstreamIndex upstream)> startReferenceProbe;

    /** The liveness of an upstream has changed. */
    std::function<void(UpstreamIndex upstream, Liveness before, std::string_view evidence)>
        onLivenessChange;

    /** The upstream is confirmed down: nothing sent to it will be answered. */
    std::function<void(UpstreamIndex upstream)> onConfirmedDown;

    /** The upstream has returned from an outage; may be empty. */
    std::function<void(UpstreamIndex upstream, const Outage &outage, TimePoint now)> onReturn = {};

    /** A failure domain has become unreachable or reachable; may be empty. */
    std::function<void(const ReachabilityChange &change)> onReachabilityChange = {};

    /** Connects to an instance of the failure domain; the result goes to
     * FailureDetector::onInstanceReached. May be empty. */
    std::function<void(DomainIndex domain)> startInstanceProbe = {};
};

/** \brief Monitors upstreams with an answer due, and probes those that are suspect.
 *
 * Detects upstreams that fail without notice. Only those with an answer due are checked, so the
 * cost does not grow with the number of upstreams. A congested link or a slow instance also delays
 * answers; therefore a probe that times out counts only if another upstream, the reference, was
 * reached in the meantime, however long this instance has been without an answer. An overloaded
 * upstream refuses connections; therefore refused probes count only if no upstream of its failure
 * domain answered in the meantime and the probe of another one has failed as well. Performs no I/O.
 * \sa UpstreamHealth, DomainReachability
 */
class FailureDetector
{
public:
    /** \param domain failure domain of this instance */
    FailureDetector(UpstreamDirectory &directory, FailureDetectorHooks hooks,
                    std::string domain = {});

    /** \brief Records that the upstream must answer a packet \a within this time. */
    void expectAnswer(UpstreamIndex upstream, TimePoint now, Duration within);

    /** \brief Records an answer: a caller has acknowledged recent data of the upstream. */
    void onAnswer(UpstreamIndex upstream, TimePoint now);

    /** \brief Marks the upstream suspect on evidence other than an overdue answer. */
    void markSuspect(UpstreamIndex upstream, std::string_view evidence, TimePoint now);

    /** \brief Records the result of a probe that FailureDetectorHooks::startProbe started at
     * \a startedAt. */
    void onProbeResult(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt,
                       TimePoint now);

    /** \brief Records the result of a probe of a reference, started at \a startedAt. */
    void onReferenceResult(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt,
                           TimePoint now);

    /** \brief Records that an instance of a failure domain was reached by a connection started at
     * \a startedAt: the domain is not partitioned, though its upstreams may refuse connections. */
    void onInstanceReached(DomainIndex domain, TimePoint startedAt, TimePoint now)
    {
        this->domains.onConnected(domain, startedAt, now);
    }

    /** \brief Checks overdue answers and starts probes that are due.
     * \returns whether this process was paused, so that a missing answer is no evidence. */
    bool tick(TimePoint now);

    /** \returns when tick must be called next, or nothing while no answer is expected, no probe is
     * due and all failure domains are reachable. */
    [[nodiscard]] std::optional<TimePoint> nextTick() const { return this->checkAt; }

    [[nodiscard]] const DomainReachability &reachability() const { return this->domains; }

    /** \returns whether no upstream was reached although several probes were lost; the view may
     * show that the instance is connected all the same. */
    [[nodiscard]] bool reachesNoUpstream(TimePoint now) const
    {
        return this->instance.reachesNoUpstream(now);
    }

    /** \returns the last answer or connected probe of any upstream. */
    [[nodiscard]] TimePoint lastAnswer() const { return this->lastAnswerAt; }

    /** \returns the start of the latest probe that connected. */
    [[nodiscard]] TimePoint lastConnectedProbeStart() const { return this->lastConnectedProbe; }

private:
    void check(UpstreamIndex upstream, TimePoint now);
    void startProbe(UpstreamIndex upstream, TimePoint now);
    void probeReference(UpstreamIndex subject, TimePoint now);
    void probeNeighbours(UpstreamIndex subject, TimePoint since, TimePoint now);
    void onConnected(UpstreamIndex upstream, TimePoint startedAt, TimePoint now);
    void onProbeFailed(UpstreamIndex upstream, ProbeResult result, TimePoint startedAt,
                       TimePoint now);
    void discardUnprovenRefusals(UpstreamIndex upstream, TimePoint now);
    void onReachabilityChange(const ReachabilityChange &change, TimePoint now);
    void suspectPending(DomainIndex domain, TimePoint now);
    void reportDomainReturn(DomainIndex domain, TimePoint lost, TimePoint now);
    void clearSuspicions(const ReachabilityChange &change, TimePoint now);
    void checkUnreachableDomains(TimePoint now);
    [[nodiscard]] bool needsNoProbe(const Upstream &upstream) const;
    void reportChange(UpstreamIndex upstream, Liveness before, std::string_view evidence,
                      TimePoint now);
    void cancelExpectedAnswers(TimePoint now);
    void monitor(UpstreamIndex upstream);
    void schedule(TimePoint at);

    UpstreamDirectory &directory;
    FailureDetectorHooks hooks;
    DomainReachability domains;
    DomainProbes domainProbes;
    InstanceConnectivity instance;
    std::vector<UpstreamIndex> monitored; //!< Upstreams with an answer due or a probe scheduled.
    std::vector<UpstreamIndex> checked;   //!< Scratch buffer of tick.
    std::optional<TimePoint> checkAt;
    std::optional<TimePoint> domainCheckAt; //!< Next probes of the unreachable domains.
    TimePoint referenceProbedAt{};          //!< Start of the last reference probe.
    TimePoint lastConnectedProbe{};         //!< Start of the latest probe that connected.
    TimePoint lastAnswerAt{};               //!< Last answer of any upstream.
};

} // namespace bulrushgap::balance
