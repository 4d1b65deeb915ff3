#pragma once

#include "balancer/BalancerLog.h"
#include "balancer/BalancerOptions.h"
#include "balancer/InstanceExplanation.h"
#include "base/Counters.h"
#include "base/Scheduler.h"
#include "capacity/CapacityLearner.h"
#include "directory/RouteTable.h"
#include "directory/UpstreamDirectory.h"
#include "ejection/EjectionPolicy.h"
#include "ejection/OutcomeSharing.h"
#include "readiness/DomainReadiness.h"
#include "readiness/DomainUpstreams.h"
#include "service/Log.h"
#include "steering/PacketSteering.h"
#include "view/MemberRegistration.h"
#include "view/MemberSweeper.h"
#include "view/ObjectMirror.h"
#include "view/SourcedStore.h"
#include "view/ViewFollower.h"
#include "view/ViewSources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Callbacks of Balancer that perform I/O. */
struct BalancerHooks
{
    using ProbeHandler = std::function<void(ProbeResult result)>;

    /** Attempts a connection to an upstream or another instance; calls the handler asynchronously.
     */
    std::function<void(Endpoint address, ProbeHandler handler)> probe;

    /** Sends a reset to the caller of a flow. */
    std::function<void(const FlowPacket &flow)> resetCaller;

    /** \returns a client for the objects of another instance. */
    std::function<std::unique_ptr<ObjectSource>(const ViewSource &source)> connectPeer;

    /** \returns a connection to exchange outcomes with another instance. May be empty. */
    std::function<std::unique_ptr<OutcomeSource>(const ViewSource &source)> connectOutcomes;

    /** The view is complete. \param late whether packets held until now are too old to forward. */
    std::function<void(bool late)> onReady;

    /** The stop delay has elapsed. */
    std::function<void()> onStopped;

    FlowObserverHooks latency; //!< May be empty.
};

/** \brief One instance on the platform without its I/O: steering, view, membership and stop.
 *
 * Runs in the program with sockets and real time, and in the simulation of the platform in virtual
 * time.
 */
class Balancer
{
public:
    Balancer(BalancerOptions options, const Scheduler &scheduler, ObjectSource &store,
             MemberStore &memberStore, Random &random, Counters &counters, Log &log,
             BalancerHooks hooks);

    /** \brief Starts reading the view; at the first start of a deployment, registers this instance
     * before. */
    void start();

    /** \brief Reports not ready, but keeps forwarding packets for the stop delay. */
    void beginStop();

    /** \returns whether the fabric may send packets to this instance. */
    [[nodiscard]] bool isReady() const
    {
        return this->ready && !this->stopping && !this->readiness.isWithdrawn()
               && !this->readiness.isStarting();
    }

    /** \returns whether the instance has left rotation because its domain can serve nothing. */
    [[nodiscard]] bool isWithdrawn() const { return this->readiness.isWithdrawn(); }

    /** \brief Decides on a packet of a caller and logs the decision.
     * \param datagram the whole packet, searched for a request id */
    [[nodiscard]] SteeringDecision decide(const FlowPacket &packet,
                                          std::span<const std::byte> datagram, TimePoint now);

    /** \returns what this instance would do with a new flow; changes nothing. */
    [[nodiscard]] InstanceExplanation explain(Endpoint route, std::optional<Endpoint> caller) const;

    /** \brief Schedules the next check of overdue answers; call it after each batch of packets. */
    void scheduleTick();

    void setStopDelay(Duration delay) { this->options.stopDelay = delay; }

    [[nodiscard]] const Upstream &upstream(UpstreamIndex index) const
    {
        return this->directory.at(index);
    }

    /** \returns the number of upstreams of a service that may take new flows by their entries. */
    [[nodiscard]] std::size_t usableUpstreams(std::string_view service) const
    {
        return this->directory.candidates(service).size();
    }

    /** \returns the number of failure domains that this instance cannot reach. */
    [[nodiscard]] std::size_t unreachableDomains() const
    {
        return this->steering.reachability().unreachableCount();
    }
    [[nodiscard]] ObjectMirror &objectMirror() { return this->mirror; }
    [[nodiscard]] OutcomeSharing &outcomeSharing() { return this->sharing; }
    [[nodiscard]] const RouteTable &routeTable() const { return this->routes; }

    /** \returns the number of upstreams that new flows avoid because their requests fail. */
    [[nodiscard]] std::size_t ejectedUpstreams() const { return this->ejection.ejectedCount(); }

    /** \returns the learned capacities of the registered upstreams; all 1 unless they are learned.
     */
    [[nodiscard]] CapacitySpread capacitySpread() const
    {
        return spreadOf(this->directory, this->scheduler.now());
    }

    /** \returns the number of packets decided for this reason. */
    [[nodiscard]] std::uint64_t decisionCount(SteeringReason reason) const
    {
        return this->decisions.at(static_cast<std::size_t>(reason));
    }

private:
    [[nodiscard]] SteeringHooks steeringHooks();
    [[nodiscard]] FlowObserverHooks observerHooks();
    [[nodiscard]] EjectionHooks ejectionHooks();
    [[nodiscard]] OutcomeSharingHooks sharingHooks();
    [[nodiscard]] SourcedStoreHooks sourceHooks();
    [[nodiscard]] ObjectMirrorHooks mirrorHooks();
    [[nodiscard]] MemberSweeperHooks sweeperHooks();
    [[nodiscard]] DomainReadinessHooks readinessHooks();
    void connect(Endpoint peer, std::function<void(bool connected)> handler);
    void startProbe(UpstreamIndex upstream);
    void startReferenceProbe(UpstreamIndex upstream);
    void startInstanceProbe(DomainIndex domain);
    [[nodiscard]] std::string_view notReadyReason() const;
    void onTick();
    void reportStatus();
    void onViewChange();
    void becomeReady();
    void onLivenessChange(UpstreamIndex upstream, Liveness before, std::string_view evidence);

    /** \returns what the own failure domain can serve, nothing while this instance is isolated. */
    [[nodiscard]] DomainSupply supply() const;

    /** \brief Checks whether neither an upstream nor a source of the view is reached. */
    void updateIsolation();

    void onOutcome(const RequestObservation &observation);
    void onEjectionChange(const EjectionChange &change);
    void onReport(const OutcomeReport &report);
    [[nodiscard]] OutcomeReports ejections() const;
    void onDirectoryChange(const DirectoryChange &change);
    [[nodiscard]] bool mayServe(const ViewRequest &request);
    [[nodiscard]] ReplyFreshness freshness() const;

    BalancerOptions options;
    const Scheduler &scheduler;
    ObjectSource &store;
    Counters &counters;
    BalancerHooks hooks;
    UpstreamDirectory directory;
    RouteTable routes;
    EjectionPolicy ejection;
    CapacityLearner capacity;
    PacketSteering steering;
    ViewSources sources;
    OutcomeSharing sharing;
    SourcedStore sourcedStore;
    BalancerLog balancerLog;
    ObjectMirror mirror;
    MemberSweeper sweeper;
    ViewFollower view;
    MemberRegistration registration;
    DomainUpstreams domainUpstreams;
    DomainReadiness readiness;
    Scheduler::Timer tickTimer;
    Scheduler::Timer startTimer;
    Scheduler::Timer stopTimer;
    Scheduler::Timer statusTimer;
    std::optional<TimePoint> tickScheduledFor;
    TimePoint startedAt{};
    TimePoint readyAt{};
    bool ready = false;
    bool stopping = false;
    std::size_t instanceProbes = 0; //!< Selects another instance each time.
    bool isolated = false;          //!< Neither an upstream nor a source of the view is reached.
    std::array<std::uint64_t, static_cast<std::size_t>(SteeringReason::Count)> decisions{};
};

} // namespace bulrushgap::balance
