#pragma once

#include "balancer/Balancer.h"
#include "simulation/SimulatedStore.h"
#include "simulation/Surroundings.h"
#include "wire/Bytes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::simulation {

class SimulatedInstance;

struct SimulatedInstanceHooks
{
    /** \returns the instance at an address, or nullptr. */
    std::function<SimulatedInstance *(Endpoint peer)> findPeer;

    /** Sends a datagram to an upstream. \param sentAt when the caller sent the packet in it */
    std::function<void(const SimulatedInstance &from, Endpoint address, Bytes datagram,
                       TimePoint sentAt)>
        toUpstream;

    /** Sends a reset to a caller. */
    std::function<void(const SimulatedInstance &from, Bytes packet)> toCaller;

    /** Connects to an address; \a handler gets the other end's answer, if there is one. */
    std::function<void(const Place &from, Endpoint address,
                       balance::BalancerHooks::ProbeHandler handler)>
        connect;

    /** A decision on a packet, for checks. */
    std::function<void(const SimulatedInstance &from, const balance::FlowPacket &packet,
                       const balance::SteeringDecision &decision)>
        onDecision;

    /** A line that the instance writes; may be empty. */
    std::function<void(const std::string &instance, const std::string &line)> onLogLine;
};

/** \brief An instance of a run: the product's Balancer with simulated surroundings. */
class SimulatedInstance
{
public:
    SimulatedInstance(Surroundings &surroundings, balance::Member member,
                      std::vector<Endpoint> seeds, SimulatedInstanceHooks hooks);
    ~SimulatedInstance();
    SimulatedInstance(const SimulatedInstance &) = delete;
    SimulatedInstance &operator=(const SimulatedInstance &) = delete;

    /** \brief Starts a process, whatever ran before is gone. */
    void start(bool firstStart);
    void kill();

    /** \brief Stops gracefully. */
    void stop();

    /** \brief The process stands still. */
    void freeze(Duration duration);

    [[nodiscard]] bool isRunning() const { return this->process != nullptr; }
    [[nodiscard]] bool isFrozen() const;

    /** \returns whether the fabric's check of the instance succeeds. */
    [[nodiscard]] bool isReady() const;

    void onPacket(Bytes packet, TimePoint sentAt);

    [[nodiscard]] const balance::Member &member() const { return this->self; }
    [[nodiscard]] Place place() const
    {
        return {Place::Role::Instance, this->self.domain, this->self.name};
    }

    /** \returns the view that the instance serves to others, or nullptr while it does not run. */
    [[nodiscard]] balance::ObjectMirror *mirror();

    /** \brief Runs \a task now, or when the process runs again; drops it if the process ends. */
    void post(std::function<void()> task);

    /** \returns the number of upstreams of a service that may take new flows; 0 if not running. */
    [[nodiscard]] std::size_t usableUpstreams(std::string_view service) const;

    [[nodiscard]] std::uint64_t counter(std::string_view name) const;

private:
    struct Process;

    struct WaitingPacket
    {
        Bytes bytes;
        TimePoint sentAt;
    };

    void decide(const WaitingPacket &packet);
    [[nodiscard]] Scheduler processScheduler();
    [[nodiscard]] balance::BalancerHooks balancerHooks();

    Surroundings &surroundings;
    balance::Member self;
    std::vector<Endpoint> seeds;
    SimulatedInstanceHooks hooks;
    std::unique_ptr<Process> process;
    std::uint64_t processNumber = 0; //!< Tells a new process from an earlier one.
    std::optional<TimePoint> frozenUntil;
    std::vector<WaitingPacket> socket; //!< Packets that wait until the process reads.
    bool reading = false;
};

} // namespace bulrushgap::simulation
