#pragma once

#include "admission/AdmissionEvent.h"
#include "admission/AdmissionRequest.h"
#include "admission/AdmissionSettings.h"
#include "admission/DeadlineQueue.h"
#include "admission/LatencyEstimate.h"
#include "admission/OutlierDetector.h"
#include "admission/OwnedUpstream.h"
#include "admission/OwnerTable.h"
#include "admission/PeerSlots.h"
#include "admission/RetryBudget.h"
#include "base/Counters.h"
#include "base/KeyedHash.h"
#include "message/PeerMessage.h"
#include "plan/Plan.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace bulrushgap {

/** \brief Decides for each request of one instance whether, when and on which upstream it runs.
 *
 * Sends requests only to the upstreams that the instance owns under the plan in force, so that it
 * counts their slots in use exactly. Every request that admit() dispatches or queues ends in
 * exactly one of: AnswerAccepted with the last part, RequestRefused, RequestRelayed.
 */
class AdmissionController
{
public:
    using Events = std::vector<AdmissionEvent>;

    AdmissionController(InstanceId self, std::uint64_t bootId, const KeyedHash &hash,
                        const AdmissionSettings &settings, Random &random, Counters &counters);

    /** \brief Puts \a plan in force.
     *
     * \param handedOver counts of requests that previous owners still had in flight. All slots
     * of an upstream that is new to this instance and not listed count as used until
     * maximalDeadline has passed or the upstream reports fewer, unless the previous plan did not
     * contain it. */
    void setPlan(const Plan &plan, std::span<const InFlightCount> handedOver, TimePoint now);

    /** \brief Stops sending to upstreams that another instance owns under \a next.
     * \returns the slots in use of each of these upstreams, including zeros. \sa setPlan */
    std::vector<InFlightCount> releaseUpstreams(const Plan &next);

    /** \returns the slots in use of upstreams that the plan in force gave to other owners.
     *
     * Sent to the new owners, which would otherwise count these requests as running until
     * maximalDeadline. \sa lowerHandoverCounts */
    [[nodiscard]] std::vector<InFlightCount> relinquishedInFlight() const;

    /** \brief Lowers the counts of handed-over requests; \a counts must be of the plan in force. */
    void lowerHandoverCounts(std::span<const InFlightCount> counts);

    AdmissionDecision admit(const AdmissionRequest &request, TimePoint now);

    /** \brief Reports a packet that an upstream sent for the dispatch \a id.
     * \param lastPart no part with a higher number follows; lower ones may still arrive */
    [[nodiscard]] Events onAnswer(const DispatchId &id, AnswerOutcome outcome, bool lastPart,
                                  const std::optional<LoadReport> &report, TimePoint now);

    /** \brief Handles a load report outside of an answer, for example one with a feed item. */
    void onLoadReport(UpstreamId upstream, const LoadReport &report);

    /** \brief Ends a request that the caller cancelled; its slot stays in use until the answer. */
    [[nodiscard]] Events cancel(std::uint64_t handle, TimePoint now);

    /** \brief Handles timeouts and deadlines; call it every few milliseconds. */
    [[nodiscard]] Events tick(TimePoint now);

    /** \returns for each service the slots that peers may use, for the heartbeat. */
    [[nodiscard]] std::vector<FreeSlots> freeSlots() const;
    void onPeerSlots(InstanceId peer, std::span<const FreeSlots> slots, TimePoint now);

    /** \returns the statuses of owned upstreams to send to the planner: changed ones, and
     * periodically those that differ from the plan in force. */
    [[nodiscard]] std::vector<UpstreamStatus> takeStatusChanges();

    /** \returns whether all requests have ended. */
    [[nodiscard]] bool drained() const { return this->requests.empty(); }

    /** \returns slots in use at \a upstream as counted here, including handed-over ones. */
    [[nodiscard]] std::uint16_t inFlight(UpstreamId upstream) const;

private:
    using Sequence = std::uint32_t; //!< Of a DispatchId.
    using OwnedUpstream = internal::OwnedUpstream;

    struct ServiceState
    {
        std::vector<UpstreamId> owned;
        DeadlineQueue queue;
        RetryBudget budget;
        OutlierDetector outliers;
        LatencyEstimate latency;
    };

    struct RequestState
    {
        AdmissionRequest request;
        std::optional<Sequence> currentAttempt;   //!< None while queued.
        std::optional<Sequence> answeringAttempt; //!< Its parts go to the caller.
        std::optional<UpstreamId> failedUpstream; //!< Of the last failed attempt.
        std::uint8_t retries = 0;
        std::uint8_t unknownOutcomes = 0; //!< Earlier attempts that may have run.
    };

    struct Attempt
    {
        std::uint64_t handle = 0;
        ServiceId service;
        UpstreamId upstream;
        TimePoint sentAt;
        TimePoint timeout;
        TimePoint slotExpiry; //!< From then on, the upstream no longer works on the request.
        TimePoint keepUntil;  //!< Answer parts are accepted until then.
        bool holdsSlot = true;
        bool answered = false;  //!< At least one part has arrived.
        bool timedOut = false;  //!< The timeout passed without an answer.
        bool delivered = false; //!< The caller has received the last part.
    };

    [[nodiscard]] ServiceState *service(ServiceId id);
    [[nodiscard]] OwnedUpstream *upstream(UpstreamId id);
    [[nodiscard]] RequestState *request(std::uint64_t handle);

    void addOwnedUpstream(const Plan &plan, const PlanService &service,
                          const PlanUpstream &upstream);
    void takeOver(OwnedUpstream &entry, std::span<const InFlightCount> handedOver, TimePoint now);
    void updateService(const PlanService &service);
    void removeAbsentServices(const Plan &plan);

    [[nodiscard]] AdmissionDecision decide(ServiceState &service, RequestState &state,
                                           TimePoint now);
    [[nodiscard]] std::optional<InstanceId> relayTarget(const RequestState &state, TimePoint now);
    [[nodiscard]] std::optional<InstanceId> weightedOwner(const RequestState &state,
                                                          bool includeSelf, TimePoint now);
    [[nodiscard]] OwnedUpstream *chooseUpstream(ServiceState &service, const RequestState &state,
                                                TimePoint now);
    [[nodiscard]] bool isProbeOnly(const ServiceState &service, const OwnedUpstream &entry) const;
    [[nodiscard]] bool hasAlternative(const ServiceState &service, UpstreamId failed) const;
    /** \returns whether an owned upstream is usable and has answered since its last timeout. */
    [[nodiscard]] bool ownsHealthyUpstream(const ServiceState &service) const;
    [[nodiscard]] bool hasFreeSlot(const ServiceState &service, TimePoint now) const;
    /** \returns the latest time at which the first slot of the service becomes free. */
    [[nodiscard]] TimePoint slotFreeAt(const ServiceState &service, TimePoint now) const;
    [[nodiscard]] ServiceRate rate(const ServiceState &service, TimePoint now) const;
    [[nodiscard]] Duration attemptTimeout(const ServiceState &service) const;

    Dispatch send(ServiceState &service, RequestState &state, OwnedUpstream &entry, TimePoint now);
    [[nodiscard]] std::optional<RefusalReason> enqueue(ServiceState &service,
                                                       const RequestState &state, TimePoint now);
    void dispatchQueued(ServiceState &service, TimePoint now);
    void dispatchQueuedFor(UpstreamId id, TimePoint now);
    void relayOrRefuseQueued(ServiceId id, ServiceState &service, TimePoint now);

    void recordAnswer(const Attempt &attempt, AnswerOutcome outcome,
                      const std::optional<LoadReport> &report, TimePoint now);
    void deliver(Sequence sequence, Attempt &attempt, bool lastPart, TimePoint now);
    void onServerError(Sequence sequence, Attempt &attempt, bool lastPart, TimePoint now);
    void onShed(Sequence sequence, Attempt &attempt, TimePoint now);
    void onTimeout(Sequence sequence, Attempt &attempt, TimePoint now);
    void onEjected(ServiceId service, UpstreamId upstream, TimePoint now);
    void releaseSlot(Attempt &attempt);

    [[nodiscard]] bool mayRetry(const RequestState &state, TimePoint now);
    [[nodiscard]] bool spendRetry(ServiceId service, TimePoint now);
    void retry(RequestState &state, const Attempt &attempt, RetryReason reason, TimePoint now);
    void refuse(std::uint64_t handle, RefusalReason reason, Verdict verdict);
    /** \brief Removes a request, also from the queue of its service. */
    void removeRequest(std::uint64_t handle);
    [[nodiscard]] static Verdict verdictOf(const RequestState &state);
    [[nodiscard]] DispatchId dispatchId(Sequence sequence) const;
    [[nodiscard]] Events takeEvents();

    InstanceId self;
    std::uint64_t bootId;
    KeyedHash hash;
    AdmissionSettings settings;
    Random &random;
    Counters &counters;
    OwnerTable owners;
    PeerSlots peers;
    bool hasPlan = false;
    TimePoint lastCallTime;
    Sequence lastSequence = 0;
    std::map<ServiceId, ServiceState> services;
    std::map<UpstreamId, OwnedUpstream> upstreams;
    std::map<std::uint64_t, RequestState> requests;
    std::map<Sequence, Attempt> attempts;
    Events events;
};

} // namespace bulrushgap
