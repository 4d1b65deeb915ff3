#pragma once

#include "base/Ids.h"
#include "base/Reasons.h"
#include "base/Time.h"
#include "base/Verdict.h"
#include "packet/Packet.h"

#include <cstdint>
#include <variant>

namespace bulrushgap {

/** \brief A request to be admitted. */
struct AdmissionRequest
{
    std::uint64_t handle = 0; //!< Unique; chosen by the caller of admit().
    ServiceId service;
    bool idempotent = false;
    TimePoint deadline;
    std::uint8_t hops = 0; //!< Number of relays so far.
};

/** \brief The request is to be sent to the upstream now, with the id as token. */
struct Dispatch
{
    std::uint64_t handle = 0;
    UpstreamId upstream;
    DispatchId id;
};

/** \brief The request is queued; an event follows. */
struct Queued
{};

/** \brief The request is to be relayed to another instance; no event follows. */
struct RelayTo
{
    InstanceId instance;
};

struct Refused
{
    RefusalReason reason = RefusalReason::Overloaded;
    Verdict verdict = Verdict::NotRun;
};

using AdmissionDecision = std::variant<Dispatch, Queued, RelayTo, Refused>;

/** \brief What an answer from an upstream says about the request. */
enum class AnswerOutcome {
    Success,
    ServerError, //!< The upstream ran the request and failed.
    Shed,        //!< The upstream did not run the request.
};

} // namespace bulrushgap
