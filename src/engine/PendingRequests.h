#pragma once

#include "engine/Action.h"
#include "engine/PartTracker.h"
#include "request/RequestLedger.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace bulrushgap {

/** \brief Where the outcome of a request has to go when another instance relayed it to us. */
struct RelayOrigin
{
    InstanceId sender;
    std::uint64_t senderBoot = 0;
    std::uint64_t relayId = 0;
};

/** \brief A request that this instance holds until its outcome is known. */
struct PendingRequest
{
    std::uint64_t handle = 0;
    FlowKey flow;
    Token token;
    ServiceId service;
    bool idempotent = false;
    TimePoint deadline;
    MessageBytes message;
    std::optional<RelayOrigin> origin;    //!< Set for requests relayed for admission.
    std::optional<RequestKey> record;     //!< Set for requests whose ledger record is here.
    std::uint8_t hops = 0;                //!< Relays before it came here.
    bool relayed = false;                 //!< Another instance dispatches it.
    std::optional<DispatchId> dispatched; //!< Newest dispatch to an upstream.
    Endpoint upstream;                    //!< Receiver of that dispatch.
    PartTracker parts;
    std::optional<TimePoint> removeAt; //!< Kept until then for parts that are still under way.
};

/** \brief Requests held by this instance, by handle and by caller and token. */
class PendingRequests
{
public:
    /** \returns the new request, or nullptr if one with the same flow and token is held. */
    PendingRequest *add(PendingRequest request);

    [[nodiscard]] PendingRequest *find(std::uint64_t handle);
    [[nodiscard]] PendingRequest *find(const FlowKey &flow, const Token &token);
    void remove(std::uint64_t handle);

    /** \returns the handles of relayed requests whose deadline has passed. */
    [[nodiscard]] std::vector<std::uint64_t> expiredRelays(TimePoint now) const;

    /** \brief Removes answered requests whose missing parts did not come in time. */
    void removeLingering(TimePoint now);

    [[nodiscard]] std::size_t size() const { return this->requests.size(); }

private:
    using CallerKey = std::pair<FlowKey, Token>;

    std::uint64_t nextHandle = 1;
    std::map<std::uint64_t, PendingRequest> requests;
    std::map<CallerKey, std::uint64_t> byCaller;
};

} // namespace bulrushgap
