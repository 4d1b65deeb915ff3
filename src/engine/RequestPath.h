#pragma once

#include "admission/AdmissionController.h"
#include "base/Counters.h"
#include "engine/Action.h"
#include "engine/InstanceIdentity.h"
#include "engine/PendingRequests.h"
#include "packet/Packet.h"
#include "plan/Plan.h"
#include "request/RequestLedger.h"
#include "request/TicketIssuer.h"

#include <functional>
#include <span>

namespace bulrushgap {

struct RequestSettings
{
    Duration defaultDeadline = std::chrono::seconds(4); //!< For requests without a deadline.
    Duration maximalDeadline = std::chrono::seconds(5); //!< Longer deadlines are reduced to this.
    Duration latePartTimeout = std::chrono::seconds(1); //!< After the last part.
    Duration ticketValidity = std::chrono::seconds(10);
};

/** \brief Routes requests and their answers, and reports outcomes to callers.
 *
 * An instance that relays a non-idempotent request keeps its ledger record. The instance that
 * dispatches the request sends answers and refusals back to the holder of the record.
 */
class RequestPath
{
public:
    /** \brief Returns the boot id of a peer, or nothing if it is not known to be alive. */
    using LiveBoot = std::function<std::optional<std::uint64_t>(InstanceId)>;

    RequestPath(const InstanceIdentity &identity, const RequestSettings &settings,
                AdmissionController &admission, TicketIssuer &issuer, RequestLedger &ledger,
                LiveBoot liveBoot, Counters &counters);

    /** \brief Handles a request; \a header is set if a peer relayed it. */
    void onRequest(const Packet &packet, const Plan &plan, const RelayHeader *header, TimePoint now,
                   Actions &actions);

    /** \brief Handles a cancellation; \a header is set if a peer relayed it. */
    void onCancel(const Packet &packet, const Plan &plan, const RelayHeader *header, TimePoint now,
                  Actions &actions);

    /** \brief Handles an answer of an upstream to a dispatched request. */
    void onAnswer(const Packet &packet, const Plan &plan, const RelayHeader *header, TimePoint now,
                  Actions &actions);

    /** \brief Handles an answer or refusal for a request that was relayed for admission. */
    void onRelayedOutcome(const Packet &packet, const RelayHeader &header, TimePoint now,
                          Actions &actions);

    void tick(const Plan &plan, TimePoint now, Actions &actions);

    /** \brief Stops issuing tickets. */
    void beginStop() { this->stopping = true; }

    /** \returns whether no request is pending and all issued tickets have expired. */
    [[nodiscard]] bool drained(TimePoint now) const;

    [[nodiscard]] std::size_t heldRequests() const { return this->pending.size(); }

private:
    void onTicketRequest(const Packet &packet, const Plan &plan, const PlanService &service,
                         const RelayHeader *header, TimePoint now, Actions &actions);
    void challenge(const Packet &packet, ServiceId service, TimePoint now, Actions &actions);
    void onValidTicket(const Packet &packet, const Plan &plan, const PlanService &service,
                       const Ticket &ticket, TimePoint now, Actions &actions);
    void relayToIssuer(const Packet &packet, const Plan &plan, const Ticket &ticket,
                       Actions &actions);
    void resendOutcome(const Packet &packet, const LedgerReply &reply, Actions &actions);
    [[nodiscard]] PendingRequest makeRequest(const Packet &packet, ServiceId service,
                                             TimePoint now) const;
    void admit(PendingRequest request, const Plan &plan, TimePoint now, Actions &actions);
    void applyDecision(const AdmissionDecision &decision, std::uint64_t handle, const Plan &plan,
                       TimePoint now, Actions &actions);
    void onEvents(std::span<const AdmissionEvent> events, const Packet *answer, const Plan &plan,
                  TimePoint now, Actions &actions);
    void dispatch(PendingRequest &request, const Dispatch &order, const Plan &plan, TimePoint now,
                  Actions &actions);
    void relayForAdmission(PendingRequest &request, InstanceId owner, const Plan &plan,
                           Actions &actions);
    /** \brief Refuses a pending request towards its caller or the holder of its record.
     *
     * Does not count the reason; callers have counted it before.
     */
    void refusePending(PendingRequest &request, Verdict verdict, RefusalReason reason,
                       const Plan &plan, Actions &actions);
    void deliverPart(PendingRequest &request, const Packet &packet, const Plan &plan, TimePoint now,
                     Actions &actions);
    void recordPart(PendingRequest &request, const Packet &packet, TimePoint now);
    void refuse(const Packet &packet, Verdict verdict, RefusalReason reason, Actions &actions);
    [[nodiscard]] RelayHeader header(RelayKind kind, std::uint64_t receiverBoot,
                                     std::uint64_t relayId, std::uint8_t hops) const;
    [[nodiscard]] bool isOwnDispatch(const DispatchId &id) const;

    const InstanceIdentity &identity;
    RequestSettings settings;
    AdmissionController &admission;
    TicketIssuer &issuer;
    RequestLedger &ledger;
    LiveBoot liveBoot;
    Counters &counters;
    PendingRequests pending;
    bool stopping = false;
    TimePoint lastTicketExpiry{};
};

} // namespace bulrushgap
