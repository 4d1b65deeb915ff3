#pragma once

#include "admission/AdmissionController.h"
#include "engine/FlowPath.h"
#include "engine/InstanceIdentity.h"
#include "engine/RequestPath.h"
#include "flow/FlowRouter.h"
#include "membership/DomainGate.h"
#include "request/RequestLedger.h"
#include "request/TicketIssuer.h"

namespace bulrushgap {

struct ActiveInstanceSettings
{
    FlowRouterOptions flow;
    AdmissionSettings admission;
    TicketSettings ticket;
    RequestLedgerLimits ledger;
    RequestSettings request;
    Duration silenceTimeout = std::chrono::seconds(10); //!< Of the flows of an ejected upstream.
};

/** \brief State of an instance that a plan lists: flow placement, admission and requests. */
class ActiveInstance
{
public:
    /** \param now time of the call that is being handled, for hooks without a time argument */
    ActiveInstance(const InstanceIdentity &identity, DomainId domain,
                   const ActiveInstanceSettings &settings, const KeyedHash &hash, Random &random,
                   Counters &counters, RequestPath::LiveBoot liveBoot, const TimePoint &now);

    ActiveInstance(const ActiveInstance &) = delete;
    ActiveInstance &operator=(const ActiveInstance &) = delete;

    [[nodiscard]] const PlanUpstream *findUpstream(ServiceId service, UpstreamId upstream) const;

    AdmissionController admission;
    FlowRouter router;
    DomainGate gate;
    TicketIssuer issuer;
    RequestLedger ledger;
    FlowPath flows;
    RequestPath requests;

private:
    [[nodiscard]] TransitionHooks makeHooks(const TimePoint &now);
};

} // namespace bulrushgap
