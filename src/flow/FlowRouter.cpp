#include "flow/FlowRouter.h"

namespace bulrushgap {

FlowDecision FlowRouter::route(ServiceId service, std::uint64_t flowHash, TimePoint now,
                               bool asArbiter)
{
    ServiceState *state = this->store.find(service);
    if (state == nullptr || state->next == nullptr)
        return this->refuse(this->transition.newest() != nullptr ? RefusalReason::UnknownService
                                                                 : RefusalReason::NotReady);
    this->store.advanceClock(now);
    const auto known = state->flows.find(flowHash, this->store.coarseNow());
    if (!known)
        return this->placeUnknownFlow(*state, flowHash, asArbiter);
    if (const UpstreamAvailability available = state->availability[*known];
        available != UpstreamAvailability::Usable) {
        this->store.erase(*state, flowHash);
        return this->refuse(available == UpstreamAvailability::DomainOut
                                ? RefusalReason::DomainOut
                                : RefusalReason::UpstreamGone);
    }
    return ToUpstream{*known};
}

void FlowRouter::touch(ServiceId service, std::uint64_t flowHash, TimePoint now)
{
    this->store.advanceClock(now);
    if (ServiceState *state = this->store.find(service))
        state->flows.find(flowHash, this->store.coarseNow());
}

void FlowRouter::close(ServiceId service, std::uint64_t flowHash)
{
    if (ServiceState *state = this->store.find(service))
        this->store.erase(*state, flowHash);
}

std::optional<Snapshot> FlowRouter::snapshot() const
{
    if (this->transition.inForce() == nullptr)
        return std::nullopt;
    return Snapshot{*this->transition.inForce(),
                    this->store.baseExceptions(this->options.transition.recordsPerMessage)};
}

FlowDecision FlowRouter::placeUnknownFlow(ServiceState &service, std::uint64_t flowHash,
                                          bool asArbiter)
{
    const std::uint16_t bucket = bucketOf(flowHash);
    UpstreamId upstream = noUpstream;
    switch (this->transition.placement(service, bucket)) {
    case Placement::Base:
        upstream = service.baseUpstream(bucket);
        break;
    case Placement::Next:
        upstream = service.nextUpstream(bucket);
        break;
    case Placement::Relay:
        // The sender elected another arbiter, for example because it has not yet noticed a crash.
        if (asArbiter)
            this->counters.add("flow_relayed_again");
        return ToArbiter{*this->transition.arbiterOf(bucket)};
    case Placement::None:
        return this->refuse(RefusalReason::NotReady);
    }
    if (upstream == noUpstream)
        return this->refuse(RefusalReason::NoUpstream);
    this->store.insert(service, flowHash, upstream);
    return ToUpstream{upstream};
}

FlowDecision FlowRouter::refuse(RefusalReason reason)
{
    this->counters.refuse(reason);
    return Refuse{reason};
}

} // namespace bulrushgap
