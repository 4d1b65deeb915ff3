#pragma once

#include "admission/AdmissionRequest.h"
#include "base/Reasons.h"
#include "base/Verdict.h"
#include "packet/Packet.h"

#include <cstdint>
#include <variant>

namespace bulrushgap {

/** \brief The answer part that was just reported is to be sent to the caller. */
struct AnswerAccepted
{
    std::uint64_t handle = 0;
    DispatchId id;
    bool lastPart = true; //!< The verdict is Answered; reordered parts may follow.
};

/** \brief The request ended without an answer. */
struct RequestRefused
{
    std::uint64_t handle = 0;
    RefusalReason reason = RefusalReason::Overloaded;
    Verdict verdict = Verdict::NotRun;
};

/** \brief The request is retried: Dispatch, RequestRelayed or RequestRefused follows, possibly
 * after the request was queued. */
struct RetryScheduled
{
    std::uint64_t handle = 0;
    RetryReason reason = RetryReason::Shed;
};

/** \brief The request is to be relayed to another instance; it was not run here. */
struct RequestRelayed
{
    std::uint64_t handle = 0;
    InstanceId instance;
};

using AdmissionEvent
    = std::variant<Dispatch, AnswerAccepted, RequestRefused, RetryScheduled, RequestRelayed>;

} // namespace bulrushgap
