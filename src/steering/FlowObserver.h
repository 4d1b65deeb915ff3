#pragma once

#include "admission/LatencyEstimate.h"
#include "directory/UpstreamDirectory.h"
#include "health/FailureDetector.h"
#include "outcome/AnswerSizes.h"
#include "outcome/RequestOutcome.h"
#include "steering/CallerAttempts.h"
#include "steering/FlowPacket.h"
#include "steering/FlowTracker.h"
#include "steering/LateRequests.h"

#include <cstddef>
#include <functional>

namespace bulrushgap::balance {

/** \brief Called with the time that an upstream took to answer a SYN or to begin a response. */
using LatencyHandler = std::function<void(Duration time)>;

struct FlowObserverHooks
{
    LatencyHandler onHandshake; //!< From a SYN to the caller's acknowledgment of the SYN-ACK.
    LatencyHandler
        onResponse; //!< From a request to the caller's first acknowledgment of the response.
    OutcomeHandler onOutcome; //!< Outcome of a request whose start this instance forwarded.
};

/** \brief Infers the state of upstreams from the packets of their callers.
 *
 * An instance sees only the caller's direction of a flow: a new acknowledgment shows that the
 * upstream has answered, a retransmission that it has not. Feeds the failure detector and counts
 * the flows and requests of each upstream for placement.
 */
class FlowObserver
{
public:
    FlowObserver(std::size_t capacity, UpstreamDirectory &directory, FailureDetector &detector,
                 FlowObserverHooks hooks);

    /** \returns the flow's state, added if missing; nullptr while the table is full. */
    [[nodiscard]] FlowState *findOrAdd(const FlowId &flow, TimePoint now)
    {
        return this->flows.findOrAdd(flow, now);
    }
    void remove(const FlowId &flow) { this->flows.remove(flow); }

    /** \brief Removes a flow that its caller has reset. */
    void onCallerReset(const FlowId &flow, TimePoint now);

    /** \brief Records that a SYN of the flow was forwarded to \a upstream. */
    void onSynForwarded(const FlowId &id, FlowState *flow, UpstreamIndex upstream, TimePoint now);

    /** \brief Resets the state of a flow whose caller reuses its port for a new flow. */
    void resetState(const FlowId &id, FlowState &flow, TimePoint now);

    /** \brief Records a packet of an established flow to \a upstream. */
    void observe(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream, TimePoint now);

    /** \returns unanswered SYNs from the same caller address. */
    [[nodiscard]] CallerAttempts::Attempts unansweredSyns(std::uint32_t callerAddress) const
    {
        return this->attempts.find(callerAddress);
    }

    /** \returns the average time from a SYN to the end of the handshake. */
    [[nodiscard]] Duration typicalHandshake() const;

    /** \brief Visits the flows with a pending request to \a upstream and removes those for which
     * \a visitor returns true. */
    void
    removePendingIf(UpstreamIndex upstream,
                    const std::function<bool(const FlowId &id, const FlowState &flow)> &visitor);

    /** \brief Reports the pending requests that have missed their objective.
     * \param paused whether this process was paused, so that their answers may wait to be read */
    void reportLate(TimePoint now, bool paused);

    /** \brief Removes idle flows and old connection attempts. */
    void removeExpired(TimePoint now);

    [[nodiscard]] std::size_t flowCount() const { return this->flows.size(); }

private:
    void observeHandshake(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                          TimePoint now);
    void observeAcknowledgment(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                               Duration sinceLastPacket, TimePoint now);
    void observeRequest(const FlowPacket &packet, FlowState &flow, UpstreamIndex upstream,
                        TimePoint now);
    void completeRequest(FlowState &flow);

    /** \brief Reports the outcome of the flow's request, whose answer is complete or missing. */
    void endRequest(Endpoint route, FlowState &flow, TimePoint now);
    void report(Endpoint route, const FlowState &flow, RequestOutcome outcome, Duration time);
    void setUpstream(FlowState &flow, UpstreamIndex upstream);
    [[nodiscard]] Duration handshakeTimeout() const;

    UpstreamDirectory &directory;
    FailureDetector &detector;
    FlowObserverHooks hooks;
    FlowTracker flows;
    CallerAttempts attempts;
    LatencyEstimate handshake;
    LatencyEstimate response;
    AnswerSizes answerSizes;
    LateRequests lateRequests;
};

} // namespace bulrushgap::balance
