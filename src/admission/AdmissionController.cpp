#include "admission/AdmissionController.h"

#include "message/RelayHeader.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bulrushgap {

AdmissionController::AdmissionController(InstanceId self, std::uint64_t bootId,
                                         const KeyedHash &hash, const AdmissionSettings &settings,
                                         Random &random, Counters &counters)
    : self(self)
    , bootId(bootId)
    , hash(hash)
    , settings(settings)
    , random(random)
    , counters(counters)
    , peers(settings.peerSlotsLifetime)
{}

// Plans and ownership.

void AdmissionController::setPlan(const Plan &plan, std::span<const InFlightCount> handedOver,
                                  TimePoint now)
{
    this->lastCallTime = now;
    OwnerTable next(plan, this->hash);
    std::map<UpstreamId, bool> wasOwned;
    std::map<UpstreamId, bool> stillOwned;
    for (auto &[id, entry] : this->upstreams) {
        wasOwned[id] = entry.owned;
        stillOwned[id] = entry.owned && !entry.released;
        entry.owned = false;
        entry.released = false;
        if (!entry.services.empty())
            entry.lastService = entry.services.front();
        entry.services.clear();
    }
    for (const PlanService &planService : plan.services)
        for (const PlanUpstream &planUpstream : planService.upstreams)
            if (next.owner(planUpstream.id) == this->self)
                this->addOwnedUpstream(plan, planService, planUpstream);
    for (auto &[id, entry] : this->upstreams) {
        if (entry.owned && !stillOwned[id])
            this->takeOver(entry, handedOver, now);
        entry.relinquished = !entry.owned && wasOwned[id];
    }
    std::erase_if(this->upstreams, [](const auto &item) {
        const OwnedUpstream &entry = item.second;
        return !entry.owned && !entry.relinquished && entry.limiter.ownInFlight() == 0;
    });
    for (const PlanService &planService : plan.services)
        this->updateService(planService);
    this->removeAbsentServices(plan);
    this->owners = std::move(next);
    this->hasPlan = true;
}

void AdmissionController::addOwnedUpstream(const Plan &plan, const PlanService &service,
                                           const PlanUpstream &upstream)
{
    OwnedUpstream &entry = this->upstreams[upstream.id];
    const PlanDomain *domain = plan.domain(upstream.domain);
    entry.plan = upstream;
    entry.owned = true;
    entry.domainOut = !domain || domain->out;
    entry.takesRequests = bulrushgap::takesRequests(plan, upstream);
    entry.services.push_back(service.id);
}

void AdmissionController::takeOver(OwnedUpstream &entry, std::span<const InFlightCount> handedOver,
                                   TimePoint now)
{
    entry.ramp = ColdStartRamp(entry.plan.weight, this->settings.coldStart);
    entry.reported.clear();
    std::optional<std::uint16_t> used;
    for (const InFlightCount &count : handedOver)
        if (count.upstream == entry.plan.id)
            used = static_cast<std::uint16_t>(used.value_or(0) + count.count);
    const bool reported = used.has_value();
    if (!used) {
        const bool busy = this->hasPlan ? this->owners.contains(entry.plan.id)
                                        : this->settings.assumeBusyAtStart;
        used = busy ? entry.plan.slots : std::uint16_t{0};
        if (busy)
            this->counters.add("admission_takeover_unknown");
    }
    const TimePoint until = now + this->settings.maximalDeadline + this->settings.slotGrace;
    entry.limiter.assume(*used, until, reported);
}

void AdmissionController::updateService(const PlanService &service)
{
    const auto [position, inserted] = this->services.try_emplace(
        service.id, ServiceState{{},
                                 DeadlineQueue(this->settings.queuePerService),
                                 RetryBudget(this->settings.retryBudget),
                                 OutlierDetector(this->settings.outlier, this->counters),
                                 {}});
    ServiceState &state = position->second;
    state.owned.clear();
    std::vector<ObservedUpstream> observed;
    std::size_t ejectedElsewhere = 0;
    for (const PlanUpstream &planUpstream : service.upstreams) {
        const bool ejected = planUpstream.state == UpstreamState::Ejected;
        const OwnedUpstream *entry = this->upstream(planUpstream.id);
        if (!entry || !entry->owned) {
            ejectedElsewhere += ejected ? 1 : 0;
            continue;
        }
        state.owned.push_back(planUpstream.id);
        observed.push_back({planUpstream.id, planUpstream.domain, ejected});
    }
    state.outliers.setUpstreams(observed, service.upstreams.size(), ejectedElsewhere);
}

void AdmissionController::removeAbsentServices(const Plan &plan)
{
    std::vector<ServiceId> absent;
    for (const auto &[id, state] : this->services)
        if (!plan.service(id))
            absent.push_back(id);
    for (const ServiceId id : absent)
        this->services.erase(id);
    std::vector<std::uint64_t> waiting;
    for (const auto &[handle, state] : this->requests)
        if (!state.currentAttempt && !this->services.contains(state.request.service))
            waiting.push_back(handle);
    for (const std::uint64_t handle : waiting)
        this->refuse(handle, RefusalReason::UpstreamGone, verdictOf(*this->request(handle)));
}

std::vector<InFlightCount> AdmissionController::releaseUpstreams(const Plan &next)
{
    const OwnerTable nextOwners(next, this->hash);
    std::vector<InFlightCount> counts;
    for (auto &[id, entry] : this->upstreams) {
        if (!entry.owned || nextOwners.owner(id) == this->self)
            continue;
        entry.released = true;
        counts.push_back({entry.services.front(), id, entry.limiter.inFlight()});
    }
    return counts;
}

std::vector<InFlightCount> AdmissionController::relinquishedInFlight() const
{
    std::vector<InFlightCount> counts;
    for (const auto &[id, entry] : this->upstreams)
        if (entry.relinquished)
            counts.push_back({entry.lastService, id, entry.limiter.inFlight()});
    return counts;
}

void AdmissionController::lowerHandoverCounts(std::span<const InFlightCount> counts)
{
    for (const InFlightCount &count : counts)
        if (OwnedUpstream *entry = this->upstream(count.upstream))
            entry->limiter.assumeAtMost(count.count);
}

// Admission.

AdmissionDecision AdmissionController::admit(const AdmissionRequest &request, TimePoint now)
{
    assert(!this->requests.contains(request.handle));
    this->lastCallTime = now;
    ServiceState *state = this->service(request.service);
    AdmissionDecision decision = Refused{RefusalReason::UnknownService, Verdict::NotRun};
    if (state) {
        RequestState &added = this->requests[request.handle];
        added.request = request;
        added.request.deadline = std::min(request.deadline, now + this->settings.maximalDeadline);
        decision = this->decide(*state, added, now);
    }
    if (const auto *refused = std::get_if<Refused>(&decision))
        this->counters.refuse(refused->reason);
    if (std::holds_alternative<Refused>(decision) || std::holds_alternative<RelayTo>(decision))
        this->requests.erase(request.handle);
    return decision;
}

AdmissionDecision AdmissionController::decide(ServiceState &service, RequestState &state,
                                              TimePoint now)
{
    const auto refused = [](RefusalReason reason) {
        return Refused{reason, Verdict::NotRun};
    };
    if (state.request.deadline <= now)
        return refused(RefusalReason::Deadline);
    // Only idempotent requests, which can be retried, are sent to a suspect upstream if another
    // instance could take them.
    OwnedUpstream *entry = this->chooseUpstream(service, state, now);
    if (entry && (state.request.idempotent || !service.outliers.suspect(entry->plan.id)))
        return this->send(service, state, *entry, now);
    if (const auto peer = this->relayTarget(state, now))
        return RelayTo{*peer};
    if (entry)
        return this->send(service, state, *entry, now);
    if (service.owned.empty()) {
        const bool ownerExists = !this->owners.owners(state.request.service).empty();
        const bool hopsLeft = state.request.hops < maximalRelayHops;
        return refused(ownerExists && !hopsLeft ? RefusalReason::HopLimit
                                                : RefusalReason::NoUpstream);
    }
    if (const auto reason = this->enqueue(service, state, now))
        return refused(*reason);
    return Queued{};
}

std::optional<InstanceId> AdmissionController::relayTarget(const RequestState &state, TimePoint now)
{
    if (state.request.hops >= maximalRelayHops)
        return std::nullopt;
    const auto owners = this->owners.owners(state.request.service);
    if (const auto peer = this->peers.takeSlot(state.request.service, owners, now, this->random))
        return peer;
    // No owner is known to have a free slot. The first instance distributes such requests over the
    // owners in proportion to the capacity of their upstreams; a relayed request is queued here.
    const ServiceState *service = this->service(state.request.service);
    const bool ownsHealthy = service && this->ownsHealthyUpstream(*service);
    if (ownsHealthy && state.request.hops > 0)
        return std::nullopt;
    return this->weightedOwner(state, ownsHealthy, now);
}

std::optional<InstanceId> AdmissionController::weightedOwner(const RequestState &state,
                                                             bool includeSelf, TimePoint now)
{
    const auto usable = [&](const OwnerSlots &owner) {
        return owner.instance == this->self ? includeSelf : this->peers.alive(owner.instance, now);
    };
    const auto owners = this->owners.owners(state.request.service);
    std::uint32_t total = 0;
    for (const OwnerSlots &owner : owners)
        total += usable(owner) ? owner.share : 0;
    if (total == 0)
        return std::nullopt;
    std::uint32_t pick = std::uniform_int_distribution<std::uint32_t>(0, total - 1)(this->random);
    for (const OwnerSlots &owner : owners) {
        if (!usable(owner))
            continue;
        if (pick < owner.share)
            return owner.instance == this->self ? std::nullopt : std::optional(owner.instance);
        pick -= owner.share;
    }
    return std::nullopt;
}

internal::OwnedUpstream *
AdmissionController::chooseUpstream(ServiceState &service, const RequestState &state, TimePoint now)
{
    const bool avoidFailed
        = state.failedUpstream && this->hasAlternative(service, *state.failedUpstream);
    OwnedUpstream *best = nullptr;
    for (const UpstreamId id : service.owned) {
        OwnedUpstream &entry = *this->upstream(id);
        if (!entry.eligible() || (avoidFailed && id == *state.failedUpstream))
            continue;
        entry.limiter.expire(now);
        if (this->isProbeOnly(service, entry)) {
            const bool idle = entry.limiter.inFlight() == 0;
            if (idle && service.outliers.probeDue(id, state.request.idempotent, now))
                return &entry;
            continue;
        }
        if (entry.free(now) == 0)
            continue;
        const auto load = [now](const OwnedUpstream &candidate, const OwnedUpstream &other) {
            return candidate.limiter.inFlight() * other.limit(now);
        };
        if (!best || load(entry, *best) < load(*best, entry)
            || (load(entry, *best) == load(*best, entry)
                && entry.lastDispatch < best->lastDispatch))
            best = &entry;
    }
    return best;
}

bool AdmissionController::isProbeOnly(const ServiceState &service, const OwnedUpstream &entry) const
{
    return entry.plan.state == UpstreamState::Ejected || service.outliers.ejected(entry.plan.id);
}

bool AdmissionController::hasAlternative(const ServiceState &service, UpstreamId failed) const
{
    return std::ranges::any_of(service.owned, [&](UpstreamId id) {
        const OwnedUpstream &entry = this->upstreams.at(id);
        return id != failed && entry.eligible() && !this->isProbeOnly(service, entry);
    });
}

bool AdmissionController::ownsHealthyUpstream(const ServiceState &service) const
{
    return std::ranges::any_of(service.owned, [&](UpstreamId id) {
        const OwnedUpstream &entry = this->upstreams.at(id);
        return entry.eligible() && !this->isProbeOnly(service, entry)
               && !service.outliers.suspect(id);
    });
}

bool AdmissionController::hasFreeSlot(const ServiceState &service, TimePoint now) const
{
    return std::ranges::any_of(service.owned, [&](UpstreamId id) {
        const OwnedUpstream &entry = this->upstreams.at(id);
        return entry.eligible() && entry.free(now) > 0;
    });
}

TimePoint AdmissionController::slotFreeAt(const ServiceState &service, TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const UpstreamId id : service.owned) {
        const OwnedUpstream &entry = this->upstreams.at(id);
        if (!entry.eligible())
            continue;
        const TimePoint at = entry.limiter.slotFreeAt(entry.limit(now), now);
        earliest = std::min(earliest.value_or(at), at);
    }
    return earliest.value_or(now);
}

ServiceRate AdmissionController::rate(const ServiceState &service, TimePoint now) const
{
    ServiceRate rate;
    rate.serviceTime = service.latency.value(Duration(0));
    rate.serviceTimeBound = service.latency.known() ? service.latency.upperBound()
                                                    : this->settings.assumedServiceTime;
    rate.serviceTimeBound = std::max(rate.serviceTimeBound, this->settings.refusalLead);
    std::uint32_t slots = 0;
    for (const UpstreamId id : service.owned) {
        const OwnedUpstream &entry = this->upstreams.at(id);
        if (entry.eligible() && !this->isProbeOnly(service, entry))
            slots += entry.limit(now);
    }
    rate.slots = std::max(1U, slots);
    return rate;
}

Duration AdmissionController::attemptTimeout(const ServiceState &service) const
{
    if (!service.latency.known())
        return this->settings.maximalAttemptTimeout;
    const Duration averageLatency = service.latency.value(Duration(0));
    return std::clamp(averageLatency * this->settings.attemptTimeoutFactor,
                      this->settings.minimalAttemptTimeout, this->settings.maximalAttemptTimeout);
}

Dispatch AdmissionController::send(ServiceState &service, RequestState &state, OwnedUpstream &entry,
                                   TimePoint now)
{
    const bool probe = this->isProbeOnly(service, entry);
    const std::uint16_t limit = probe ? std::uint16_t{1} : entry.limit(now);
    const bool acquired = entry.limiter.tryAcquire(limit);
    if (!acquired || entry.limiter.inFlight() > std::min(limit, entry.plan.slots))
        this->counters.add("invariant_slots_exceeded");
    if (probe)
        service.outliers.onProbe(entry.plan.id, now);
    const Sequence sequence = ++this->lastSequence;
    Attempt attempt;
    attempt.handle = state.request.handle;
    attempt.service = state.request.service;
    attempt.upstream = entry.plan.id;
    attempt.sentAt = now;
    attempt.timeout = state.request.deadline;
    if (state.request.idempotent)
        attempt.timeout = std::min(attempt.timeout, now + this->attemptTimeout(service));
    attempt.slotExpiry = state.request.deadline + this->settings.slotGrace;
    attempt.keepUntil = state.request.deadline + this->settings.partLinger;
    attempt.holdsSlot = acquired;
    this->attempts.emplace(sequence, attempt);
    entry.lastDispatch = sequence;
    state.currentAttempt = sequence;
    return {state.request.handle, entry.plan.id, this->dispatchId(sequence)};
}

std::optional<RefusalReason> AdmissionController::enqueue(ServiceState &service,
                                                          const RequestState &state, TimePoint now)
{
    const ServiceRate rate = this->rate(service, now);
    if (this->slotFreeAt(service, now) + rate.serviceTimeBound > state.request.deadline)
        return RefusalReason::Deadline;
    const QueuedRequest queued{state.request.handle, state.request.deadline};
    const PushOutcome outcome = service.queue.push(queued, rate, now, this->random);
    if (outcome.result == PushResult::TooLate)
        return RefusalReason::Deadline;
    if (outcome.result == PushResult::Queued)
        return std::nullopt;
    if (outcome.victim == queued.handle)
        return RefusalReason::QueueFull;
    this->refuse(outcome.victim, RefusalReason::QueueFull,
                 verdictOf(*this->request(outcome.victim)));
    return std::nullopt;
}

void AdmissionController::dispatchQueued(ServiceState &service, TimePoint now)
{
    if (service.queue.empty())
        return;
    for (const std::uint64_t handle : service.queue.takeLate(this->rate(service, now), now))
        this->refuse(handle, RefusalReason::Deadline, verdictOf(*this->request(handle)));
    const auto take = [&](std::uint64_t handle) {
        RequestState &state = *this->request(handle);
        OwnedUpstream *entry = this->chooseUpstream(service, state, now);
        if (entry)
            this->events.emplace_back(this->send(service, state, *entry, now));
        return entry != nullptr;
    };
    service.queue.drainTo(take, [&] { return this->hasFreeSlot(service, now); });
}

void AdmissionController::dispatchQueuedFor(UpstreamId id, TimePoint now)
{
    const OwnedUpstream *entry = this->upstream(id);
    if (!entry)
        return;
    for (const ServiceId serviceId : entry->services)
        if (ServiceState *state = this->service(serviceId))
            this->dispatchQueued(*state, now);
}

void AdmissionController::relayOrRefuseQueued(ServiceId id, ServiceState &service, TimePoint now)
{
    if (!service.owned.empty() || service.queue.empty())
        return;
    std::vector<std::uint64_t> waiting;
    for (const auto &[handle, state] : this->requests)
        if (state.request.service == id && !state.currentAttempt)
            waiting.push_back(handle);
    for (const std::uint64_t handle : waiting) {
        RequestState &state = *this->request(handle);
        const bool notRun = verdictOf(state) == Verdict::NotRun;
        const auto peer = notRun ? this->relayTarget(state, now) : std::nullopt;
        if (!peer) {
            this->refuse(handle, RefusalReason::NoUpstream, verdictOf(state));
            continue;
        }
        this->removeRequest(handle);
        this->events.emplace_back(RequestRelayed{handle, *peer});
    }
}

// Reports to peers and to the planner.

std::vector<FreeSlots> AdmissionController::freeSlots() const
{
    std::vector<FreeSlots> result;
    for (const auto &[serviceId, state] : this->services) {
        std::size_t free = 0;
        for (const UpstreamId id : state.owned) {
            const OwnedUpstream &entry = this->upstreams.at(id);
            const bool healthy = !this->isProbeOnly(state, entry) && !state.outliers.suspect(id);
            if (entry.eligible() && healthy)
                free += entry.free(this->lastCallTime);
        }
        free -= std::min(free, state.queue.size());
        result.push_back({serviceId, static_cast<std::uint16_t>(free)});
    }
    return result;
}

void AdmissionController::onPeerSlots(InstanceId peer, std::span<const FreeSlots> slots,
                                      TimePoint now)
{
    this->lastCallTime = now;
    this->peers.update(peer, slots, now);
}

std::vector<UpstreamStatus> AdmissionController::takeStatusChanges()
{
    std::vector<UpstreamStatus> changes;
    for (auto &[id, entry] : this->upstreams) {
        for (const ServiceId serviceId : entry.services) {
            const ServiceState *state = this->service(serviceId);
            if (!entry.owned || !state)
                continue;
            const UpstreamStatus status{serviceId, id, state->outliers.ejected(id),
                                        entry.ramp.weight()};
            const auto last
                = std::ranges::find(entry.reported, serviceId,
                                    [](const auto &reported) { return reported.status.service; });
            const bool planEjected = entry.plan.state == UpstreamState::Ejected;
            // The planned weight of a draining upstream is 0, whatever the ramp allows.
            const bool weightShown = planEjected || status.warmth == entry.plan.weight
                                     || entry.plan.state == UpstreamState::Draining;
            const bool planUpToDate = status.ejected == planEjected && weightShown;
            const bool reportedBefore = last != entry.reported.end();
            const bool recent
                = reportedBefore
                  && this->lastCallTime - last->at < this->settings.statusRepeatInterval;
            const bool same = reportedBefore ? last->status == status : planUpToDate;
            if (same && (planUpToDate || recent))
                continue;
            if (reportedBefore)
                *last = {status, this->lastCallTime};
            else
                entry.reported.push_back({status, this->lastCallTime});
            changes.push_back(status);
        }
    }
    return changes;
}

std::uint16_t AdmissionController::inFlight(UpstreamId upstream) const
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? std::uint16_t{0} : found->second.limiter.inFlight();
}

// Lookup.

AdmissionController::ServiceState *AdmissionController::service(ServiceId id)
{
    const auto found = this->services.find(id);
    return found == this->services.end() ? nullptr : &found->second;
}

AdmissionController::OwnedUpstream *AdmissionController::upstream(UpstreamId id)
{
    const auto found = this->upstreams.find(id);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

AdmissionController::RequestState *AdmissionController::request(std::uint64_t handle)
{
    const auto found = this->requests.find(handle);
    return found == this->requests.end() ? nullptr : &found->second;
}

DispatchId AdmissionController::dispatchId(Sequence sequence) const
{
    return {this->self, static_cast<std::uint16_t>(this->bootId), sequence};
}

AdmissionController::Events AdmissionController::takeEvents()
{
    return std::exchange(this->events, {});
}

} // namespace bulrushgap
