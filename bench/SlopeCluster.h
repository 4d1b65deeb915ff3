#pragma once

#include "Bench.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace bulrushgap::bench {

/** \brief What one plan change cost; bytes are encoded messages with their length. */
struct ChangeCost
{
    double bytesPerInstance = 0; //!< Sent, mean.
    double plannerBytes = 0;     //!< Sent by the planner, the plan included.
    double virtualMs = 0;        //!< From the push until the plan is in force everywhere.
    double processorMs = 0;      //!< Per instance: encode, decode and handle all messages.
};

/** \returns the encoded size with its length, or nothing if the message is over a limit. */
std::optional<std::size_t> encodedBytes(const PeerMessage &message);

/** \brief Flow routers of one scope on in-memory links in virtual time; the first one plans. */
class SlopeCluster
{
public:
    SlopeCluster(const Plan &plan, std::uint64_t seed);

    /** \brief Opens flows of service 1 that every instance knows. */
    void openFlows(std::size_t count, Random &random);

    /** \brief Pushes the changed plan to all and runs until it is in force everywhere. */
    ChangeCost change(const Plan &plan);

private:
    struct Node
    {
        std::unique_ptr<Counters> counters;
        std::unique_ptr<FlowRouter> router;
        std::size_t sent = 0;
    };

    struct Frame
    {
        InstanceId from;
        InstanceId to;
        std::vector<std::byte> bytes;
    };

    void receive(const Frame &frame);
    void send(InstanceId from, const FlowRouter::Outbox &out);
    void tick();
    [[nodiscard]] bool inForceEverywhere(const PlanId &plan) const;

    std::map<InstanceId, Node> nodes;
    std::multimap<TimePoint, Frame> frames;
    TimePoint now = TimePoint(std::chrono::hours(1));
};

} // namespace bulrushgap::bench
