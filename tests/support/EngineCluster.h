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
    unsigned upstreamsPerDomain = 3; //!< Of each of the two services.
    unsigned flows = 60;
    Duration flowInterval = std::chrono::milliseconds(200);
    Duration requestInterval = std::chrono::milliseconds(20);
    double bookingShare = 0.5;
    double duplicateShare = 0.05;
    double lossShare = 0.0;
    EngineSettings engine = {};
};

/** \brief Real engines with fakes at their interfaces: links, store, upstreams and callers.
 *
 * An observer checks the invariants from outside; \sa Violations.
 */
class EngineCluster
{
public:
    explicit EngineCluster(const ClusterOptions &options);

    /** \brief Callers open their flows and send requests from now on. */
    void startTraffic();

    void run(Duration duration) { this->queue.runFor(duration); }

    [[nodiscard]] TimePoint now() const { return this->queue.now(); }

    /** \brief Runs until all live instances have the operators' newest objects in force.
     * \returns whether this happened within \a limit. */
    bool converge(Duration limit);

    // Faults.
    void kill(std::size_t node);
    void start(std::size_t node);
    void pause(std::size_t node, Duration duration);
    void stopGracefully(std::size_t node);
    void cut(unsigned domain, bool cutOff); //!< From all other failure domains and the store.
    void setStoreOutage(bool outage);
    void loseStoreAnswers(int count) { this->store.answersToLose = count; }
    void setHang(const std::string &upstream, bool hang);
    void setCold(const std::string &upstream);

    // Operators' changes.
    void labelUpstream(const std::string &upstream, const std::string &state);
    void labelDomain(unsigned domain, const std::string &state);

    [[nodiscard]] std::string upstreamName(unsigned domain, unsigned service, unsigned index) const;
    [[nodiscard]] std::size_t nodeCount() const { return this->nodes.size(); }
    [[nodiscard]] bool running(std::size_t node) const
    {
        return this->nodes[node].engine != nullptr;
    }
    [[nodiscard]] InstanceEngine &engine(std::size_t node) { return *this->nodes[node].engine; }
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;
    [[nodiscard]] std::uint64_t invariantCounters() const;

    /** \returns outcomes and all counters that are not zero, a line each. */
    [[nodiscard]] std::string report() const;

    Violations violations;
    Outcomes outcomes;
    Random random;

private:
    struct Node
    {
        std::string name;
        unsigned domain = 0;
        InstanceIdentity identity;
        std::unique_ptr<Random> random;
        std::shared_ptr<Counters> counters;
        std::unique_ptr<InstanceEngine> engine;
        std::uint64_t boot = 0;
        TimePoint pausedUntil{};
        TimePoint listedUntil{}; //!< The fabric goes on handing packets to a dead one until then.
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
        unsigned warmRuns = 0;
        std::optional<TimePoint> coldReported; //!< First answer that said so.
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
    void deliver(std::size_t node, Duration delay,
                 std::function<void(InstanceEngine &, Actions &)> call);
    void invoke(std::size_t node, const std::function<void(InstanceEngine &, Actions &)> &call);
    void connect(std::size_t first, std::size_t second);
    void tickNode(std::size_t node, std::uint64_t boot);
    void pollStore(std::size_t node);
    void carryOut(std::size_t node, const Actions &actions);
    void perform(std::size_t node, const SendToUpstream &action);
    void perform(std::size_t node, const SendToCaller &action);
    void perform(std::size_t node, const RefuseToCaller &action);
    void perform(std::size_t node, const ChallengeCaller &action);
    void perform(std::size_t node, const ResetFlow &action);
    void perform(std::size_t node, const RelayPacket &action);
    void perform(std::size_t node, const RelayRefusal &action);
    void perform(std::size_t node, const SendToPeer &action);

    void onUpstream(Upstream &upstream, const FlowKey &flow, const SimulatedMessage &message);
    void onUpstreamFlow(Upstream &upstream, const FlowKey &flow, const SimulatedMessage &message);
    void onUpstreamRequest(Upstream &upstream, const FlowKey &flow,
                           const SimulatedMessage &message);
    void checkTarget(const Upstream &upstream, const FlowKey &flow, bool newWork);
    [[nodiscard]] bool ownerKnowsCold(const Upstream &upstream) const;
    void spray(const FlowKey &flow, const SimulatedMessage &message);
    void sendFlowPacket(std::size_t flow);
    void sendRequest();
    void sendToInstances(std::uint64_t id, unsigned attempt);

    [[nodiscard]] Duration delay(int lowMicroseconds, int highMicroseconds);
    [[nodiscard]] bool reachable(unsigned first, unsigned second) const;
    [[nodiscard]] bool chance(double share);
    [[nodiscard]] std::optional<std::size_t> nodeAt(Endpoint dataAddress) const;
    [[nodiscard]] std::optional<std::size_t> nodeNamed(std::string_view name) const;
    void suspendBounds(Duration faultLength = {});

    /** \brief Tracks faults during which operators' changes cannot reach every instance. */
    void noteDisturbance();

    /** \returns whether a change made at \a changed has to be in force everywhere by now. */
    [[nodiscard]] bool due(TimePoint changed) const;

    ClusterOptions options;
    simulation::EventLoop queue;
    FakeStore store;
    std::vector<Node> nodes;
    std::vector<std::unique_ptr<Upstream>> upstreams;
    std::map<unsigned, TimePoint> outSince; //!< Failure domains taken out.
    std::set<unsigned> cutDomains;
    std::vector<Flow> flows;
    std::map<FlowKey, std::size_t> flowsByKey;
    std::map<std::uint64_t, Request> requests;
    std::uint64_t nextRequest = 1;
    std::uint16_t nextPort = 1000;
    std::uint64_t nextBoot = 1;
    std::optional<TimePoint> disturbedSince; //!< Begin of the present outage or partition.
    TimePoint boundsFrom{}; //!< Bounds of P4, P8 and moved flows hold from then on.
    std::map<std::pair<std::size_t, std::size_t>, TimePoint> linkTimes;
    std::map<std::string, std::uint64_t> pastCounters;
};

} // namespace bulrushgap::test
