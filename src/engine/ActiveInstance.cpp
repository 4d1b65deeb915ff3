#include "engine/ActiveInstance.h"

#include <cassert>
#include <utility>

namespace bulrushgap {

ActiveInstance::ActiveInstance(const InstanceIdentity &identity, DomainId domain,
                               const ActiveInstanceSettings &settings, const KeyedHash &hash,
                               Random &random, Counters &counters, RequestPath::LiveBoot liveBoot,
                               const TimePoint &now)
    : admission(identity.id.value(), identity.bootId, hash, settings.admission, random, counters)
    , router(identity.id.value(), identity.bootId, settings.flow, hash, counters,
             this->makeHooks(now))
    , gate(domain)
    , issuer(identity.id.value(), identity.bootId, settings.ticket, random)
    , ledger(settings.ledger, counters)
    , flows(
          identity, this->router, this->gate, hash,
          [this](ServiceId service, UpstreamId upstream) {
              return this->findUpstream(service, upstream);
          },
          settings.silenceTimeout, counters)
    , requests(identity, settings.request, this->admission, this->issuer, this->ledger,
               std::move(liveBoot), counters)
{}

const PlanUpstream *ActiveInstance::findUpstream(ServiceId service, UpstreamId upstream) const
{
    for (const auto *plan : {this->router.newestPlan(), this->router.currentPlan()}) {
        const auto *found = plan != nullptr ? plan->service(service) : nullptr;
        const auto *entry = found != nullptr ? bulrushgap::findUpstream(*found, upstream) : nullptr;
        if (entry != nullptr)
            return entry;
    }
    return nullptr;
}

TransitionHooks ActiveInstance::makeHooks(const TimePoint &now)
{
    return {
        .releaseAdmission
        = [this](const Plan &next) { return this->admission.releaseUpstreams(next); },
        .onInForce =
            [this, &now](const Plan &plan, std::span<const InFlightCount> released) {
                this->admission.setPlan(plan, released, now);
                this->gate.onPlanInForce(plan);
            },
    };
}

} // namespace bulrushgap
