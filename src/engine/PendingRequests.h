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

/** \brief Where to send the outcome of a request that another instance relayed. */
struct RelayOrigin
{
    InstanceId sender;
    std::uint64_t senderBoot = 0;
    std::uint64_t relayId = 0;
};

/** \brief A request whose outcome is not known yet. */
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
    std::uint8_t hops = 0;                //!< Relays so far.
    bool relayed = false;                 //!< Relayed to another instance, which dispatches it.
    std::optional<DispatchId> dispatched; //!< Latest dispatch to an upstream.
    Endpoint upstream;                    //!< Target of that dispatch.
    PartTracker parts;
    std::optional<TimePoint> removeAt; //!< Set after the last part while earlier ones are missing.
};

/** \brief Pending requests of this instance, indexed by handle and by flow and token. */
class PendingRequests
{
public:
    /** \returns the new request, or nullptr if one with the same flow and token is pending. */
    PendingRequest *add(PendingRequest request);

    [[nodiscard]] PendingRequest *find(std::uint64_t handle);
    [[nodiscard]] PendingRequest *find(const FlowKey &flow, const Token &token);
    void remove(std::uint64_t handle);

    /** \returns the handles of relayed requests whose deadline has passed. */
    [[nodiscard]] std::vector<std::uint64_t> expiredRelays(TimePoint now) const;

    /** \brief Removes answered requests whose missing parts did not arrive in time. */
    void removeExpired(TimePoint now);

    [[nodiscard]] std::size_t size() const { return this->requests.size(); }

private:
    using CallerKey = std::pair<FlowKey, Token>;

    std::uint64_t nextHandle = 1;
    std::map<std::uint64_t, PendingRequest> requests;
    std::map<CallerKey, std::uint64_t> byCaller;
};

} // namespace bulrushgap
