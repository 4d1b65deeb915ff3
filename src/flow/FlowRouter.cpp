#include "flow/FlowRouter.h"

namespace bulrushgap {

FlowDecision FlowRouter::route(ServiceId service, std::uint64_t flowHash, TimePoint now,
                               bool asArbiter)
{
    ServiceState *state = this->store.find(service);
    if (state == nullptr || state->next == nullptr)
        return this->refuse(this->transition.newest() != nullptr ? RefusalReason::UnknownService
                                                                 : RefusalReason::NotReady);
    this->store.advance(now);
    const auto known = state->flows.find(flowHash, this->store.age());
    if (!known)
        return this->placeUnknown(*state, flowHash, asArbiter);
    if (const UpstreamGate gate = state->gates[*known]; gate != UpstreamGate::Target) {
        this->store.erase(*state, flowHash);
        return this->refuse(gate == UpstreamGate::Out ? RefusalReason::DomainOut
                                                      : RefusalReason::UpstreamGone);
    }
    return ToUpstream{*known};
}

void FlowRouter::touch(ServiceId service, std::uint64_t flowHash, TimePoint now)
{
    this->store.advance(now);
    if (ServiceState *state = this->store.find(service))
        state->flows.find(flowHash, this->store.age());
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

FlowDecision FlowRouter::placeUnknown(ServiceState &service, std::uint64_t flowHash, bool asArbiter)
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
        // The sender's view of the arbiters differs, for example after a crash.
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
