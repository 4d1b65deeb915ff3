#include "role/ExplainEndpoint.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace bulrushgap {

namespace internal {

using balance::SteeringReason;

boost::json::object toJson(const balance::PlacementExclusions &excluded)
{
    return {{"draining", excluded.draining},
            {"evacuated", excluded.evacuated},
            {"ambiguousTag", excluded.ambiguousTag},
            {"confirmedDown", excluded.confirmedDown},
            {"domainUnreachable", excluded.domainUnreachable},
            {"coldWithoutBudget", excluded.coldWithoutBudget}};
}

boost::json::object toJson(const balance::PlacementAvoidance &avoided)
{
    return {{"ejected", avoided.ejected},
            {"suspect", avoided.suspect},
            {"slow", avoided.slow},
            {"probablyWarm", avoided.probablyWarm},
            {"triedByThisCaller", avoided.triedByThisCaller}};
}

boost::json::object toJson(const balance::PlacementCandidate &candidate)
{
    return {{"upstream", candidate.upstream}, {"domain", candidate.domain},
            {"score", candidate.score},       {"requests", candidate.requests},
            {"flows", candidate.flows},       {"slots", candidate.slots},
            {"capacity", candidate.capacity}, {"liveness", toString(candidate.liveness)},
            {"cold", candidate.cold},         {"ejected", candidate.ejected}};
}

boost::json::object toJson(const balance::ServiceExplanation &service)
{
    const balance::PlacementExplanation &placement = service.placement;
    boost::json::object object{{"service", placement.service},
                               {"weight", service.weight},
                               {"verdict", toString(service.verdict)}};
    if (service.verdict == SteeringReason::NewFlow && !placement.best.empty()) {
        object["upstream"] = placement.best.front().upstream;
        object["trial"] = placement.choice.isTrial;
    }
    object["candidates"] = placement.choice.candidates;
    object["sampled"] = placement.sampled;
    object["excluded"] = toJson(placement.excluded);
    object["avoided"] = toJson(placement.avoided);
    boost::json::array best;
    for (const balance::PlacementCandidate &candidate : placement.best)
        best.push_back(toJson(candidate));
    object["best"] = std::move(best);
    return object;
}

boost::json::object toJson(const balance::InstanceExplanation &explanation)
{
    const balance::FlowExplanation &flow = explanation.flow;
    boost::json::object object{{"instance", explanation.instance},
                               {"domain", explanation.domain},
                               {"ready", explanation.notReadyReason.empty()},
                               {"version", flow.version},
                               {"viewAgeMs", toMilliseconds(explanation.viewAge)},
                               {"address", flow.address.toString()},
                               {"route", flow.route},
                               {"verdict", toString(flow.verdict)}};
    if (!explanation.notReadyReason.empty())
        object["notReadyReason"] = explanation.notReadyReason;
    boost::json::array services;
    for (const balance::ServiceExplanation &service : flow.services)
        services.push_back(toJson(service));
    object["services"] = std::move(services);
    return object;
}

unsigned statusOf(SteeringReason verdict)
{
    if (verdict == SteeringReason::NotReady)
        return 503;
    const bool unrouted
        = verdict == SteeringReason::NoRoute || verdict == SteeringReason::RouteRemoved;
    return unrouted ? 404 : 200;
}

HttpReply malformedQuery()
{
    HttpReply reply;
    reply.status = 400;
    reply.body = R"({"error":"expected route=ADDRESS:PORT and optionally caller=ADDRESS:PORT"})";
    return reply;
}

} // namespace internal

HttpReply explainReply(const HttpRequestView &request, const FlowExplainer &explain)
{
    const auto route = Endpoint::parse(request.parameter("route").value_or(""));
    const auto callerText = request.parameter("caller");
    const auto caller = Endpoint::parse(callerText.value_or(""));
    if (!route || (callerText && !caller))
        return internal::malformedQuery();
    const balance::InstanceExplanation explanation = explain(*route, caller);
    HttpReply reply;
    reply.status = internal::statusOf(explanation.flow.verdict);
    reply.body = boost::json::serialize(internal::toJson(explanation));
    return reply;
}

} // namespace bulrushgap
