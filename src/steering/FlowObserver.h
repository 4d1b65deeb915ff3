#pragma once

#include "admission/LatencyEstimate.h"
#include "directory/UpstreamDirectory.h"
#include "health/FailureDetector.h"
#include "steering/CallerAttempts.h"
#include "steering/FlowPacket.h"
#include "steering/FlowTracker.h"

#include <cstddef>
#include <functional>

namespace bulrushgap::balance {

/** \brief Called with the time that an upstream took to answer a SYN or to begin an answer. */
using LatencyHandler = std::function<void(Duration time)>;

struct FlowObserverHooks
{
    LatencyHandler onHandshake; //!< From a SYN to the caller's answer to the handshake.
    LatencyHandler onResponse;  //!< From a request to the first packet of its answer.
};

/** \brief Reads from the callers' packets what their upstreams do.
 *
 * An instance sees only one direction of a flow: what a caller acknowledges shows that its upstream
 * has answered, a repeated packet that it has not. Feeds the failure detection and counts the flows
 * and requests of each upstream for placement.
 */
class FlowObserver
{
public:
    FlowObserver(std::size_t capacity, UpstreamDirectory &directory, FailureDetector &detector,
                 FlowObserverHooks hooks);

    /** \returns the flow's state, new if it was not known; nullptr while the table is full. */
    [[nodiscard]] FlowState *findOrAdd(const FlowId &flow, TimePoint now)
    {
        return this->flows.findOrAdd(flow, now);
    }
    void forget(const FlowId &flow) { this->flows.forget(flow); }

    /** \brief A SYN of the flow goes to \a upstream. */
    void placed(const FlowId &id, FlowState *flow, UpstreamIndex upstream, TimePoint now);

    /** \brief The caller uses the port of a former flow again. */
    void restart(FlowState &flow, TimePoint now);

    /** \brief A packet of an open flow goes to \a upstream. */
    void observe(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream, TimePoint now);

    /** \returns other SYNs of the same caller that have no answer yet. */
    [[nodiscard]] CallerAttempts::Attempts attemptsOf(std::uint32_t callerAddress) const
    {
        return this->attempts.find(callerAddress);
    }

    /** \returns a time in which an upstream that lives has mostly answered a SYN. */
    [[nodiscard]] Duration usualHandshake() const;

    /** \brief Visits the flows whose request waits for \a upstream; those for which \a visitor
     * returns true are forgotten. */
    void visitWaiting(UpstreamIndex upstream,
                      const std::function<bool(const FlowId &id, const FlowState &flow)> &visitor);

    /** \brief Forgets what is too old to be of use. */
    void forgetOld(TimePoint now);

    [[nodiscard]] std::size_t flowCount() const { return this->flows.size(); }

private:
    void observeOpening(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                        TimePoint now);
    void observeAnswer(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                       Duration unseen, TimePoint now);
    void observeRequest(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                        TimePoint now);
    void endRequest(FlowState &flow);
    void moveTo(FlowState &flow, UpstreamIndex upstream);
    [[nodiscard]] Duration handshakeTimeout() const;

    UpstreamDirectory &directory;
    FailureDetector &detector;
    FlowObserverHooks hooks;
    FlowTracker flows;
    CallerAttempts attempts;
    LatencyEstimate handshake;
    LatencyEstimate response;
};

} // namespace bulrushgap::balance
