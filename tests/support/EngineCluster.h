#pragma once

#include "engine.h"
#include "simulation/EventLoop.h"
#include "support/FakeStore.h"
#include "support/Observations.h"
#include "support/SimulatedMessage.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace bulrushgap::test {

struct ClusterOptions
{
    std::uint64_t seed = 1;
    unsigned domains = 2;
    unsigned instancesPerDomain = 2;
    unsigned upstreamsPerDomain = 3; //!< For each of the two services.
    unsigned flows = 60;
    Duration flowInterval = std::chrono::milliseconds(200);
    Duration requestInterval = std::chrono::milliseconds(20);
    double bookingShare = 0.5; //!< Share of non-idempotent requests.
    double duplicateShare = 0.05;
    double lossShare = 0.0;
    EngineSettings engine = {};
};

/** \brief Instance engines in virtual time with fake links, store, upstreams and callers.
 *
 * An observer outside of the instances checks the invariants. \sa Violations
 */
class EngineCluster
{
public:
    explicit EngineCluster(const ClusterOptions &options);

    /** \brief Starts the callers, which open flows and send requests. */
    void startTraffic();

    void run(Duration duration) { this->queue.runFor(duration); }

    [[nodiscard]] TimePoint now() const { return this->queue.now(); }

    /** \brief Runs until the newest objects of operators are in force on all live instances.
     * \returns whether this happened within \a limit
     */
    bool converge(Duration limit);

    // Fault injection.
    void kill(std::size_t instance);
    void start(std::size_t instance);
    void pause(std::size_t instance, Duration duration);
    void stopGracefully(std::size_t instance);
    void cut(unsigned domain, bool cutOff); //!< Isolates a domain from others and the store.
    void setStoreOutage(bool outage);
    void loseStoreAnswers(int count) { this->store.answersToLose = count; }
    void setHang(const std::string &upstream, bool hang);
    void setCold(const std::string &upstream);

    // Changes by operators.
    void labelUpstream(const std::string &upstream, const std::string &state);
    void labelDomain(unsigned domain, const std::string &state);

    [[nodiscard]] std::string upstreamName(unsigned domain, unsigned service, unsigned index) const;
    [[nodiscard]] std::size_t instanceCount() const { return this->instances.size(); }
    [[nodiscard]] bool running(std::size_t instance) const
    {
        return this->instances[instance].engine != nullptr;
    }
    [[nodiscard]] InstanceEngine &engine(std::size_t instance)
    {
        return *this->instances[instance].engine;
    }
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;
    [[nodiscard]] std::uint64_t invariantCounters() const;

    /** \returns outcomes and all non-zero counters, one per line. */
    [[nodiscard]] std::string report() const;

    Violations violations;
    Outcomes outcomes;
    Random random;

private:
    struct Instance
    {
        std::string name;
        unsigned domain = 0;
        InstanceIdentity identity;
        std::unique_ptr<Random> random;
        std::shared_ptr<Counters> counters;
        std::unique_ptr<InstanceEngine> engine;
        std::uint64_t boot = 0;
        TimePoint pausedUntil{};
        TimePoint fabricListedUntil{}; //!< The fabric sends it packets until then, even if dead.
        bool leaving = false;
        PlanId lastInForce;
    };

    struct Upstream
    {
        std::string name;
        unsigned domain = 0;
        unsigned service = 0;
        Endpoint address;
        unsigned inFlight = 0;
        unsigned warmUpRequests = 0;
        std::optional<TimePoint> coldReportedAt; //!< Time of the first answer that reported it.
        bool hang = false;
        std::string state;
        TimePoint stateSince{};
    };

    struct Flow
    {
        FlowKey key;
        const Upstream *upstream = nullptr;
        bool opened = false;
    };

    struct Request
    {
        FlowKey flow;
        SimulatedMessage message;
        unsigned runs = 0;
        bool toldNotRun = false;
        bool done = false;
    };

    void createObjects();
    void deliver(std::size_t instance, Duration delay,
                 std::function<void(InstanceEngine &, Actions &)> call);
    void invoke(std::size_t instance, const std::function<void(InstanceEngine &, Actions &)> &call);
    void connect(std::size_t first, std::size_t second);
    void tickInstance(std::size_t instance, std::uint64_t boot);
    void pollStore(std::size_t instance);
    void execute(std::size_t instance, const Actions &actions);
    void perform(std::size_t instance, const SendToUpstream &action);
    void perform(std::size_t instance, const SendToCaller &action);
    void perform(std::size_t instance, const RefuseToCaller &action);
    void perform(std::size_t instance, const ChallengeCaller &action);
    void perform(std::size_t instance, const ResetFlow &action);
    void perform(std::size_t instance, const RelayPacket &action);
    void perform(std::size_t instance, const RelayRefusal &action);
    void perform(std::size_t instance, const SendToPeer &action);

    void onUpstream(Upstream &upstream, const FlowKey &flow, const SimulatedMessage &message);
    void onUpstreamFlow(Upstream &upstream, const FlowKey &flow, const SimulatedMessage &message);
    void onUpstreamRequest(Upstream &upstream, const FlowKey &flow,
                           const SimulatedMessage &message);
    void checkNewWork(const Upstream &upstream, const FlowKey &flow, bool newWork);
    [[nodiscard]] bool ownerKnowsCold(const Upstream &upstream) const;
    void spray(const FlowKey &flow, const SimulatedMessage &message);
    void sendFlowPacket(std::size_t flow);
    void sendRequest();
    void sendToInstances(std::uint64_t id, unsigned attempt);

    [[nodiscard]] Duration delay(int lowMicroseconds, int highMicroseconds);
    [[nodiscard]] bool reachable(unsigned first, unsigned second) const;
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] std::optional<std::size_t> instanceAt(Endpoint dataAddress) const;
    [[nodiscard]] std::optional<std::size_t> instanceNamed(std::string_view name) const;
    /** \brief Suspends the checks of time bounds for a fault and the time to recover from it. */
    void suspendBounds(Duration faultLength = {});

    /** \brief Tracks outages and partitions, which keep changes from reaching every instance. */
    void updateDisturbance();

    /** \returns whether a change made at \a changed must be in force everywhere by now. */
    [[nodiscard]] bool isDue(TimePoint changed) const;

    ClusterOptions options;
    simulation::EventLoop queue;
    FakeStore store;
    std::vector<Instance> instances;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::map<unsigned, TimePoint> outSince; //!< Failure domains taken out.
    std::set<unsigned> cutDomains;
    std::vector<Flow> flows;
    std::map<FlowKey, std::size_t> flowsByKey;
    std::map<std::uint64_t, Request> requests;
    std::uint64_t nextRequest = 1;
    std::uint16_t nextPort = 1000;
    std::uint64_t nextBoot = 1;
    std::optional<TimePoint> disturbedSince; //!< Start of the current outage or partition.
    TimePoint boundsSuspendedUntil{};        //!< P1, P4 and P8 are not checked until then.
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> lastDeliveries;
    std::map<std::string, std::uint64_t> countersOfEndedInstances;
};

} // namespace bulrushgap::test
