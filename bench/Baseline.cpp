#include "Baseline.h"

namespace bulrushgap::bench {

FlowDecision Baseline::route(std::uint64_t flowHash, TimePoint now, bool /*relayed*/)
{
    ServiceState *state = this->store.find(ServiceId{1});
    if (state == nullptr)
        return Refuse{RefusalReason::NotReady};
    this->store.advanceClock(now);
    const auto known = state->flows.find(flowHash, this->store.coarseNow());
    if (known && state->isUsable(*known))
        return ToUpstream{*known};
    const UpstreamId upstream = state->baseUpstream(bucketOf(flowHash));
    if (upstream == noUpstream)
        return Refuse{RefusalReason::NoUpstream};
    this->store.insert(*state, flowHash, upstream);
    return ToUpstream{upstream};
}

void Baseline::onPlan(const Plan &plan, TimePoint /*now*/, Outbox & /*out*/)
{
    this->store.setNext(plan);
    this->store.promote();
}

} // namespace bulrushgap::bench
