#pragma once

#include "base/Ids.h"
#include "base/Reasons.h"
#include "base/Time.h"
#include "base/Verdict.h"
#include "packet/Packet.h"

#include <cstdint>
#include <variant>

namespace bulrushgap {

/** \brief A request that asks for a slot. */
struct AdmissionRequest
{
    std::uint64_t handle = 0; //!< Chosen by the caller of admit(), never used twice.
    ServiceId service;
    bool idempotent = false;
    TimePoint deadline;
    std::uint8_t hops = 0; //!< Relays so far.
};

/** \brief Send the request to the upstream now, with the id as token. */
struct Dispatch
{
    std::uint64_t handle = 0;
    UpstreamId upstream;
    DispatchId id;
};

/** \brief The request waits; an event follows. */
struct Queued
{};

/** \brief Pass the request on; the receiver decides, no event follows. */
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
