#pragma once

#include "base/Time.h"
#include "directory/Upstream.h"
#include "steering/FlowPacket.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace bulrushgap::balance {

/** \brief Names a flow: both ends of its caller's packets. */
struct FlowId
{
    Endpoint caller;
    Endpoint route;

    friend bool operator==(const FlowId &, const FlowId &) = default;
};

struct FlowIdHash
{
    [[nodiscard]] std::size_t operator()(const FlowId &flow) const;
};

/** \brief What an instance has seen of one flow; a flow can go on without it at any instance. */
struct FlowState
{
    static constexpr std::size_t maxTried = 3;

    std::array<UpstreamIndex, maxTried> tried{noUpstream, noUpstream, noUpstream};
    UpstreamIndex upstream = noUpstream; //!< That takes its packets now.
    TimePoint firstSeen{};
    TimePoint lastSeen{};
    TimePoint syncSentAt{};         //!< When the last SYN was passed on.
    TimePoint requestSentAt{};      //!< When the data that waits for an answer first came.
    std::uint32_t acknowledged = 0; //!< Greatest number that the caller acknowledged.
    std::uint32_t dataEnd = 0;      //!< Sequence number after the last data of the caller.
    bool open = false;              //!< The caller has answered the upstream's handshake.
    bool waiting = false;           //!< A request was sent and its answer has not begun.
    bool idempotent = false;
};

/** \brief Flows that passed this instance lately; for failure detection and load, not for routing.
 */
class FlowTracker
{
public:
    using Flows = boost::unordered_flat_map<FlowId, FlowState, FlowIdHash>;

    /** \brief Called for each flow that is forgotten. */
    using ForgetHandler = std::function<void(const FlowId &flow, FlowState &state)>;

    FlowTracker(std::size_t capacity, ForgetHandler onForget);

    /** \returns the flow's state, or nullptr. */
    [[nodiscard]] FlowState *find(const FlowId &flow);

    /** \returns the flow's state, new if it was not known; nullptr while the table is full. */
    [[nodiscard]] FlowState *findOrAdd(const FlowId &flow, TimePoint now);

    void forget(const FlowId &flow);

    /** \brief Forgets flows without a packet since \a oldest. */
    void forgetIdle(TimePoint oldest);

    /** \brief Visits all flows; the visitor must not add or forget any. */
    void visit(const std::function<void(const FlowId &flow, FlowState &state)> &visitor);

    [[nodiscard]] std::size_t size() const { return this->flows.size(); }

private:
    std::size_t capacity;
    ForgetHandler onForget;
    Flows flows;
};

} // namespace bulrushgap::balance
