#pragma once

#include "simulation/CallerPopulation.h"
#include "simulation/Fabric.h"
#include "simulation/FaultInjector.h"
#include "simulation/FaultSettings.h"
#include "simulation/Operators.h"
#include "simulation/PromiseChecks.h"
#include "simulation/RunReport.h"
#include "simulation/RunSettings.h"
#include "simulation/SimulatedInstance.h"
#include "simulation/Surroundings.h"
#include "simulation/UpstreamFleet.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushgap::simulation {

struct RunHooks
{
    /** A line that an instance writes; may be empty. */
    std::function<void(const std::string &instance, const std::string &line)> onLogLine;
};

/** \brief One run of a deployment with its load and faults, in virtual time.
 *
 * The instances are the product's own; callers, fabric, upstreams, store and operators are models.
 * Two runs with the same settings, faults and seed are the same.
 */
class Run
{
public:
    Run(RunSettings settings, std::vector<PlannedFault> faults, std::uint64_t seed, RunHooks hooks);

    /** \brief Plays the run to its end; once. */
    [[nodiscard]] RunReport play();

private:
    /** \brief A flow as the resets that instances send to its caller name it. */
    struct FlowKey
    {
        Endpoint caller;
        Endpoint route;

        friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
    };

    /** \returns what the platform tells a starting instance: the last instance of some domains. */
    [[nodiscard]] std::vector<Endpoint> seeds() const;
    void addInstances();
    void addUpstreams();
    void addCallers();
    [[nodiscard]] SimulatedInstanceHooks instanceHooks();
    [[nodiscard]] UpstreamModelHooks upstreamHooks(std::size_t number);
    [[nodiscard]] CallerPopulationHooks callerHooks(const std::string &domain);

    void fromCaller(const std::string &domain, WirePacket packet);
    void toUpstream(const SimulatedInstance &from, Endpoint address, Bytes datagram,
                    TimePoint sentAt);
    void arrive(Endpoint address, const Bytes &datagram, const Transit &transit);
    void refuse(const Place &machine, std::span<const std::byte> datagram);
    void toCaller(const Place &from, WirePacket packet);
    void onDecision(const SimulatedInstance &from, const balance::FlowPacket &packet,
                    const balance::SteeringDecision &decision);
    void connect(const Place &from, Endpoint address, balance::BalancerHooks::ProbeHandler handler);
    [[nodiscard]] SimulatedInstance *instanceAt(Endpoint peer) const;
    [[nodiscard]] const RequestClass *classOf(const HttpRequest &request) const;

    void onBroken(Promise promise, const std::string &what);
    void checkRecovery();
    void addLoads();
    [[nodiscard]] Duration sinceTraffic() const
    {
        return this->surroundings.loop.now() - this->trafficStart;
    }

    RunSettings settings;
    std::vector<PlannedFault> faults;
    RunHooks hooks;
    Surroundings surroundings;
    RunReport report;
    UpstreamFleet fleet;
    PromiseChecks checks;
    Operators operators;
    Fabric fabric;
    std::vector<std::unique_ptr<SimulatedInstance>> instances;
    std::vector<std::unique_ptr<CallerPopulation>> populations;
    std::map<FlowKey, std::string> resetBy; //!< The instance that last reset a flow.
    std::optional<Transit> arriving;        //!< Of the datagram that an upstream is taking.
    TimePoint trafficStart{};
};

/** \returns faults at random times of a run, a few of which overlap. */
[[nodiscard]] std::vector<PlannedFault> randomFaults(const RunSettings &settings, std::size_t count,
                                                     std::uint64_t seed);

} // namespace bulrushgap::simulation
