#pragma once

#include "balancer/BalancerProfile.h"
#include "base/Counters.h"
#include "base/Scheduler.h"
#include "directory/RouteTable.h"
#include "directory/UpstreamDirectory.h"
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

namespace bulrushgap::balance {

/** \brief What an instance does to the outside. */
struct BalancerHooks
{
    using ProbeHandler = std::function<void(ProbeResult result)>;

    /** Tries a connection to an upstream or another instance; the handler is called later. */
    std::function<void(Endpoint address, ProbeHandler handler)> probe;

    /** Sends the caller of a flow a reset. */
    std::function<void(const FlowPacket &flow)> resetCaller;

    /** \returns a client of another instance. */
    std::function<std::unique_ptr<ObjectSource>(Endpoint peer)> connectPeer;

    /** The view is complete. \param late packets that have waited until now are too old. */
    std::function<void(bool late)> onReady;

    /** The stop delay is over. */
    std::function<void()> onStopped;

    FlowObserverHooks latency; //!< May be empty.
};

/** \brief One instance on the platform without its I/O: steering, view, membership and stop.
 *
 * The same object runs in the program, with sockets and real time round it, and in the project's
 * model of the platform, in virtual time.
 */
class Balancer
{
public:
    Balancer(BalancerProfile profile, const Scheduler &scheduler, ObjectSource &store,
             MemberStore &memberStore, Random &random, Counters &counters, Log &log,
             BalancerHooks hooks);

    /** \brief Reads the view; at a first start the instances enter themselves before that. */
    void start();

    /** \brief Leaves rotation and passes packets on for the stop delay. */
    void beginStop();

    /** \returns whether the fabric may hand packets to this instance. */
    [[nodiscard]] bool isReady() const { return this->ready && !this->stopping; }

    /** \brief Decides on a packet of a caller and writes the lines that explain the decision.
     * \param datagram the whole packet, searched for the id of a request */
    [[nodiscard]] SteeringDecision decide(const FlowPacket &packet,
                                          std::span<const std::byte> datagram, TimePoint now);

    /** \brief Schedules the next check of overdue answers; call it after a batch of packets. */
    void armTick();

    void setStopDelay(Duration delay) { this->profile.stopDelay = delay; }

    [[nodiscard]] const Upstream &upstream(UpstreamIndex index) const
    {
        return this->directory.at(index);
    }
    [[nodiscard]] ObjectMirror &objectMirror() { return this->mirror; }
    [[nodiscard]] const RouteTable &routeTable() const { return this->routes; }

    /** \returns how often a reason has decided on a packet. */
    [[nodiscard]] std::uint64_t decisionCount(SteeringReason reason) const
    {
        return this->decisions.at(static_cast<std::size_t>(reason));
    }

private:
    [[nodiscard]] SteeringHooks steeringHooks();
    [[nodiscard]] MemberSweeperHooks sweeperHooks();
    void startProbe(UpstreamIndex upstream);
    void startWitness(UpstreamIndex upstream);
    void record(const SteeringDecision &decision, const FlowPacket &packet,
                std::span<const std::byte> datagram);
    void onTick();
    void reportStatus();
    void onViewChange();
    void becomeReady();
    void onBelief(UpstreamIndex upstream, Liveness before, std::string_view evidence);
    void logDirectoryChange(const DirectoryChange &change);
    [[nodiscard]] bool mayServeView();

    BalancerProfile profile;
    const Scheduler &scheduler;
    ObjectSource &store;
    Counters &counters;
    Log &log;
    BalancerHooks hooks;
    UpstreamDirectory directory;
    RouteTable routes;
    PacketSteering steering;
    ViewSources sources;
    SourcedStore sourcedStore;
    ObjectMirror mirror;
    MemberSweeper sweeper;
    ViewFollower view;
    MemberRegistration registration;
    Scheduler::Timer tickTimer;
    Scheduler::Timer startTimer;
    Scheduler::Timer stopTimer;
    Scheduler::Timer statusTimer;
    std::optional<TimePoint> tickArmedFor;
    TimePoint startedAt{};
    bool ready = false;
    bool stopping = false;
    std::array<std::uint64_t, static_cast<std::size_t>(SteeringReason::Count)> decisions{};
};

} // namespace bulrushgap::balance
