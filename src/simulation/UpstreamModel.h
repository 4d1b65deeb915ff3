#pragma once

#include "base/Scheduler.h"
#include "directory/UpstreamEntry.h"
#include "simulation/FlowEnd.h"
#include "simulation/HttpExchange.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>

namespace bulrushgap::simulation {

struct UpstreamLimits
{
    unsigned queue = 8;       //!< Requests that wait for a slot; more are shed.
    unsigned flows = 2'000;   //!< SYNs beyond this are ignored.
    unsigned connections = 0; //!< Load from which on connections are refused; 0 for no limit.
    unsigned retransmissions = 8;
    Duration coldTime = std::chrono::seconds(2);
    double coldFactor = 1.6; //!< A cold upstream takes this much longer for a request.
};

/** \brief What an upstream does for a request. */
struct Work
{
    Duration time{};
    std::size_t answerBytes = 0;
};

struct UpstreamModelHooks
{
    /** Sends a packet straight to its caller. */
    std::function<void(WirePacket packet)> send;

    /** \returns what a request takes. */
    std::function<Work(const HttpRequest &request)> workFor;

    /** A SYN was taken; it may open a flow. */
    std::function<void(const WirePacket &syn)> onSyn;

    /** A packet arrived; \a known whether its flow is here. */
    std::function<void(const WirePacket &packet, bool known)> onPacket;

    /** Work on a request begins. */
    std::function<void(const HttpRequest &request)> onRun;
};

/** \brief An upstream as the platform has it: flows, slots, a queue, cold start, drain and crash.
 */
class UpstreamModel
{
public:
    UpstreamModel(const Scheduler &scheduler, balance::UpstreamEntry entry, UpstreamLimits limits,
                  Random &random, UpstreamModelHooks hooks);
    ~UpstreamModel();
    UpstreamModel(const UpstreamModel &) = delete;
    UpstreamModel &operator=(const UpstreamModel &) = delete;

    /** \brief A datagram from an instance: the id of the upstream that is meant, then the packet.
     */
    void onDatagram(std::span<const std::byte> datagram);

    /** \brief Closes each flow after its next answer from now on. */
    void beginDrain() { this->draining = true; }

    [[nodiscard]] const balance::UpstreamEntry &entry() const { return this->description; }
    [[nodiscard]] bool isCold() const;

    /** \returns whether it resets new connections at once, because it is overloaded. */
    [[nodiscard]] bool refusesConnections();
    [[nodiscard]] bool holds(Endpoint caller, Endpoint route) const;
    [[nodiscard]] std::size_t flowCount() const { return this->flows.size(); }
    [[nodiscard]] std::uint64_t runs() const { return this->runCount; }
    [[nodiscard]] std::uint64_t sheds() const { return this->shedCount; }

    /** \brief Requests take longer by this factor from now on. */
    void setSlowness(double factor) { this->slowness = factor; }

    /** \brief Takes requests and answers none of this share of them. */
    void setHangShare(double share) { this->hangShare = share; }

private:
    struct FlowKey
    {
        Endpoint caller;
        Endpoint route;

        friend auto operator<=>(const FlowKey &, const FlowKey &) = default;
    };

    struct Flow
    {
        std::uint32_t ownSequence = 0;
        std::uint32_t callerSequence = 0;
        std::unique_ptr<FlowEnd> end; //!< Nothing until the caller has answered the handshake.
        std::unique_ptr<RequestStream> requests;
    };

    struct Job
    {
        FlowKey key;
        HttpRequest request;
    };

    void onSyn(const WirePacket &packet, const FlowKey &key);
    void open(const FlowKey &key, Flow &flow, const WirePacket &packet);
    void answerUnknown(const WirePacket &packet, const FlowKey &key);
    void onRequest(const FlowKey &key, const HttpRequest &request);
    void start(Job job);
    void finish(const Job &job, std::size_t answerBytes);
    void reply(const FlowKey &key, const HttpAnswer &answer);
    void startNext();
    void closeLater(const FlowKey &key);

    const Scheduler &scheduler;
    balance::UpstreamEntry description;
    UpstreamLimits limits;
    Random &random;
    UpstreamModelHooks hooks;
    TimePoint startedAt;
    std::map<FlowKey, Flow> flows;
    std::set<FlowKey> ended;
    std::deque<Job> queue;
    std::map<std::uint64_t, Scheduler::Timer> running;
    std::map<FlowKey, Scheduler::Timer> closing;
    std::uint64_t nextJob = 0;
    std::uint64_t runCount = 0;
    std::uint64_t shedCount = 0;
    std::deque<TimePoint> recentSheds;
    double slowness = 1.0;
    double hangShare = 0.0;
    bool draining = false;
};

} // namespace bulrushgap::simulation
