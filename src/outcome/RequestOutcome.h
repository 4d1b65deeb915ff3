#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "directory/Upstream.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace bulrushgap::balance {

/** \brief How a request ended, as far as the caller's packets show it. */
enum class RequestOutcome : std::uint8_t {
    Answered,
    Late,       //!< No answer began within the route's objective; reported at that moment.
    Short,      //!< The answer is much shorter than usual: the upstream refused or failed.
    Unanswered, //!< The caller ended the flow, or began the next request, without an answer.
    Count,
};

[[nodiscard]] std::string_view toString(RequestOutcome outcome);

/** \brief Outcome of one request; reported at most once for each. */
struct RequestObservation
{
    UpstreamIndex upstream = noUpstream;
    Endpoint route;
    RequestOutcome outcome = RequestOutcome::Answered;
    Duration
        time{}; //!< From the request to the start of its answer, or to this report without one.
};

/** \brief Called with the outcome of each request. */
using OutcomeHandler = std::function<void(const RequestObservation &observation)>;

} // namespace bulrushgap::balance
