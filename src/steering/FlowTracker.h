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

/** \brief Identifies a flow by its caller and route endpoints. */
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

/** \brief What an instance has observed of one flow; not needed to forward the flow's packets. */
struct FlowState
{
    static constexpr std::size_t maxTriedUpstreams = 3;

    std::array<UpstreamIndex, maxTriedUpstreams> triedUpstreams{noUpstream, noUpstream, noUpstream};
    UpstreamIndex upstream = noUpstream; //!< Current upstream of the flow.
    TimePoint firstSeen{};
    TimePoint lastSeen{};
    TimePoint synSentAt{};          //!< When the last SYN was forwarded.
    TimePoint requestSentAt{};      //!< When the first packet of the pending request arrived.
    std::uint32_t acknowledged = 0; //!< Highest sequence number that the caller acknowledged.
    Duration answerTime{};          //!< From the request to the start of its answer.
    Duration objective{};           //!< Of the route; 0 if it has none.
    std::uint32_t dataEnd = 0;      //!< Sequence number after the caller's last data byte.
    std::uint32_t answerStart = 0;  //!< Acknowledged sequence number when the request was sent.
    bool established = false;       //!< The caller completed the handshake with the upstream.
    bool requestPending = false;    //!< A request was sent and its response has not begun.
    bool requestOpen = false;       //!< A request was sent and its outcome is not known.
    bool idempotent = false;
};

/** \brief Recent flows of this instance, used for failure detection and load but not for routing.
 */
class FlowTracker
{
public:
    using Flows = boost::unordered_flat_map<FlowId, FlowState, FlowIdHash>;

    /** \brief Called for each flow that is removed. */
    using RemoveHandler = std::function<void(const FlowId &flow, FlowState &state)>;

    FlowTracker(std::size_t capacity, RemoveHandler onRemove);

    /** \returns the flow's state, or nullptr. */
    [[nodiscard]] FlowState *find(const FlowId &flow);

    /** \returns the flow's state, added if missing; nullptr while the table is full. */
    [[nodiscard]] FlowState *findOrAdd(const FlowId &flow, TimePoint now);

    void remove(const FlowId &flow);

    /** \brief Removes flows without a packet since \a oldest. */
    void removeIdle(TimePoint oldest);

    /** \brief Visits all flows; the visitor must not add or remove flows. */
    void visit(const std::function<void(const FlowId &flow, FlowState &state)> &visitor);

    [[nodiscard]] std::size_t size() const { return this->flows.size(); }

private:
    std::size_t capacity;
    RemoveHandler onRemove;
    Flows flows;
};

} // namespace bulrushgap::balance
