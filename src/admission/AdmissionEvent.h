#pragma once

#include "admission/AdmissionRequest.h"
#include "base/Reasons.h"
#include "base/Verdict.h"
#include "packet/Packet.h"

#include <cstdint>
#include <variant>

namespace bulrushgap {

/** \brief The part of the answer that was just reported belongs to the caller. */
struct AnswerAccepted
{
    std::uint64_t handle = 0;
    DispatchId id;
    bool lastPart = true; //!< With this, the verdict is Answered; reordered parts may follow.
};

/** \brief The request ended without an answer. */
struct RequestRefused
{
    std::uint64_t handle = 0;
    RefusalReason reason = RefusalReason::Overloaded;
    Verdict verdict = Verdict::NotRun;
};

/** \brief The request is sent again: Dispatch, RequestRelayed or RequestRefused follows. */
struct RetryScheduled
{
    std::uint64_t handle = 0;
    RetryReason reason = RetryReason::Shed;
};

/** \brief Pass the request on: it was not run here, and the receiver decides. */
struct RequestRelayed
{
    std::uint64_t handle = 0;
    InstanceId instance;
};

using AdmissionEvent
    = std::variant<Dispatch, AnswerAccepted, RequestRefused, RetryScheduled, RequestRelayed>;

} // namespace bulrushgap
