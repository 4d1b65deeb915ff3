#pragma once

#include "balancer/InstanceExplanation.h"
#include "service/HttpMessage.h"

#include <functional>
#include <optional>

namespace bulrushgap {

/** \brief Explains a new flow to \a route, from \a caller if it is given. */
using FlowExplainer
    = std::function<balance::InstanceExplanation(Endpoint route, std::optional<Endpoint> caller)>;

/** \brief Answers GET /explain?route=ADDRESS:PORT[&caller=ADDRESS:PORT].
 *
 * Status 400 for a malformed query, 503 until the view is complete, and 404 for an unknown route.
 */
[[nodiscard]] HttpReply explainReply(const HttpRequestView &request, const FlowExplainer &explain);

} // namespace bulrushgap
