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
    this->latest = now;
    OwnerTable next(plan, this->hash);
    std::map<UpstreamId, bool> wasOwned;
    std::map<UpstreamId, bool> kept;
    for (auto &[id, entry] : this->upstreams) {
        wasOwned[id] = entry.owned;
        kept[id] = entry.owned && !entry.released;
        entry.owned = false;
        entry.released = false;
        if (!entry.services.empty())
            entry.lastService = entry.services.front();
        entry.services.clear();
    }
    for (const PlanService &planService : plan.services)
        for (const PlanUpstream &planUpstream : planService.upstreams)
            if (next.owner(planUpstream.id) == this->self)
                this->adopt(plan, planService, planUpstream);
    for (auto &[id, entry] : this->upstreams) {
        if (entry.owned && !kept[id])
            this->takeOver(entry, handedOver, now);
        entry.givenUp = !entry.owned && wasOwned[id];
    }
    std::erase_if(this->upstreams, [](const auto &item) {
        const OwnedUpstream &entry = item.second;
        return !entry.owned && !entry.givenUp && entry.limiter.ownInFlight() == 0;
    });
    for (const PlanService &planService : plan.services)
        this->updateService(planService);
    this->refuseGoneServices(plan);
    this->owners = std::move(next);
    this->planKnown = true;
}

void AdmissionController::adopt(const Plan &plan, const PlanService &service,
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
    if (!used) {
        const bool busy = this->planKnown ? this->owners.contains(entry.plan.id)
                                          : this->settings.assumeBusyAtStart;
        used = busy ? entry.plan.slots : std::uint16_t{0};
        if (busy)
            this->counters.add("admission_takeover_unknown");
    }
    const TimePoint until = now + this->settings.maximalDeadline + this->settings.slotGrace;
    entry.limiter.assume(*used, until);
}

void AdmissionController::updateService(const PlanService &service)
{
    const auto [place, inserted] = this->services.try_emplace(
        service.id, ServiceState{{},
                                 DeadlineQueue(this->settings.queuePerService),
                                 RetryBudget(this->settings.retryBudget),
                                 OutlierDetector(this->settings.outlier, this->counters),
                                 {}});
    ServiceState &state = place->second;
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

void AdmissionController::refuseGoneServices(const Plan &plan)
{
    std::vector<ServiceId> gone;
    for (const auto &[id, state] : this->services)
        if (!plan.service(id))
            gone.push_back(id);
    for (const ServiceId id : gone)
        this->services.erase(id);
    std::vector<std::uint64_t> waiting;
    for (const auto &[handle, state] : this->requests)
        if (!state.current && !this->services.contains(state.request.service))
            waiting.push_back(handle);
    for (const std::uint64_t handle : waiting)
        this->refuse(handle, RefusalReason::UpstreamGone, verdictOf(*this->request(handle)));
}

std::vector<InFlightCount> AdmissionController::releaseFor(const Plan &next)
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

std::vector<InFlightCount> AdmissionController::givenUpInFlight() const
{
    std::vector<InFlightCount> counts;
    for (const auto &[id, entry] : this->upstreams)
        if (entry.givenUp)
            counts.push_back({entry.lastService, id, entry.limiter.inFlight()});
    return counts;
}

void AdmissionController::lowerHandedOver(std::span<const InFlightCount> counts)
{
    for (const InFlightCount &count : counts)
        if (OwnedUpstream *entry = this->upstream(count.upstream))
            entry->limiter.assumeAtMost(count.count);
}

// Admission.

AdmissionDecision AdmissionController::admit(const AdmissionRequest &request, TimePoint now)
{
    assert(!this->requests.contains(request.handle));
    this->latest = now;
    ServiceState *state = this->service(request.service);
    AdmissionDecision decision = Refused{RefusalReason::UnknownService, Verdict::NotRun};
    if (state) {
        RequestState &fresh = this->requests[request.handle];
        fresh.request = request;
        fresh.request.deadline = std::min(request.deadline, now + this->settings.maximalDeadline);
        decision = this->decide(*state, fresh, now);
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
    // Only requests that can be retried try an upstream in doubt before other instances.
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
    if (const auto peer = this->peers.takeFree(state.request.service, owners, now, this->random))
        return peer;
    // All owners are busy as far as known. The first instance spreads the waiting requests over
    // the owners in proportion to what their upstreams bear; a relayed request waits where it is.
    const ServiceState *service = this->service(state.request.service);
    const bool own = service && this->ownsHealthy(*service);
    if (own && state.request.hops > 0)
        return std::nullopt;
    return this->weightedOwner(state, own, now);
}

std::optional<InstanceId> AdmissionController::weightedOwner(const RequestState &state, bool orSelf,
                                                             TimePoint now)
{
    const auto usable = [&](const OwnerSlots &owner) {
        return owner.instance == this->self ? orSelf : this->peers.alive(owner.instance, now);
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
    const bool avoidFailed = state.failed && this->hasAlternative(service, *state.failed);
    OwnedUpstream *best = nullptr;
    for (const UpstreamId id : service.owned) {
        OwnedUpstream &entry = *this->upstream(id);
        if (!entry.eligible() || (avoidFailed && id == *state.failed))
            continue;
        entry.limiter.expire(now);
        if (this->onlyProbed(service, entry)) {
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

bool AdmissionController::onlyProbed(const ServiceState &service, const OwnedUpstream &entry) const
{
    return entry.plan.state == UpstreamState::Ejected || service.outliers.ejected(entry.plan.id);
}

bool AdmissionController::hasAlternative(const ServiceState &service, UpstreamId failed) const
{
    return std::ranges::any_of(service.owned, [&](UpstreamId id) {
        const OwnedUpstream &entry = this->upstreams.at(id);
        return id != failed && entry.eligible() && !this->onlyProbed(service, entry);
    });
}

bool AdmissionController::ownsHealthy(const ServiceState &service) const
{
    return std::ranges::any_of(service.owned, [&](UpstreamId id) {
        const OwnedUpstream &entry = this->upstreams.at(id);
        return entry.eligible() && !this->onlyProbed(service, entry)
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

ServiceRate AdmissionController::rate(const ServiceState &service, TimePoint now) const
{
    ServiceRate rate;
    rate.serviceTime = service.latency.value(Duration(0));
    rate.ample = service.latency.ample();
    std::uint32_t slots = 0;
    for (const UpstreamId id : service.owned) {
        const OwnedUpstream &entry = this->upstreams.at(id);
        if (entry.eligible() && !this->onlyProbed(service, entry))
            slots += entry.limit(now);
    }
    rate.slots = std::max(1U, slots);
    return rate;
}

Duration AdmissionController::attemptTime(const ServiceState &service) const
{
    if (!service.latency.known())
        return this->settings.maximalAttempt;
    const Duration usual = service.latency.value(Duration(0));
    return std::clamp(usual * this->settings.attemptFactor, this->settings.minimalAttempt,
                      this->settings.maximalAttempt);
}

Dispatch AdmissionController::send(ServiceState &service, RequestState &state, OwnedUpstream &entry,
                                   TimePoint now)
{
    const bool probe = this->onlyProbed(service, entry);
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
        attempt.timeout = std::min(attempt.timeout, now + this->attemptTime(service));
    attempt.slotUntil = state.request.deadline + this->settings.slotGrace;
    attempt.keepUntil = state.request.deadline + this->settings.partLinger;
    attempt.holdsSlot = acquired;
    this->attempts.emplace(sequence, attempt);
    entry.lastDispatch = sequence;
    state.current = sequence;
    return {state.request.handle, entry.plan.id, this->dispatchId(sequence)};
}

std::optional<RefusalReason> AdmissionController::enqueue(ServiceState &service,
                                                          const RequestState &state, TimePoint now)
{
    const QueuedRequest queued{state.request.handle, state.request.deadline};
    const PushOutcome outcome
        = service.queue.push(queued, this->rate(service, now), now, this->random);
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

void AdmissionController::pump(ServiceState &service, TimePoint now)
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

void AdmissionController::pumpServicesOf(UpstreamId id, TimePoint now)
{
    const OwnedUpstream *entry = this->upstream(id);
    if (!entry)
        return;
    for (const ServiceId serviceId : entry->services)
        if (ServiceState *state = this->service(serviceId))
            this->pump(*state, now);
}

void AdmissionController::moveOrphans(ServiceId id, ServiceState &service, TimePoint now)
{
    if (!service.owned.empty() || service.queue.empty())
        return;
    std::vector<std::uint64_t> waiting;
    for (const auto &[handle, state] : this->requests)
        if (state.request.service == id && !state.current)
            waiting.push_back(handle);
    for (const std::uint64_t handle : waiting) {
        RequestState &state = *this->request(handle);
        const bool notRun = verdictOf(state) == Verdict::NotRun;
        const auto peer = notRun ? this->relayTarget(state, now) : std::nullopt;
        if (!peer) {
            this->refuse(handle, RefusalReason::NoUpstream, verdictOf(state));
            continue;
        }
        this->end(handle);
        this->events.emplace_back(RequestRelayed{handle, *peer});
    }
}

// Answers.

AdmissionController::Events AdmissionController::onAnswer(const DispatchId &id,
                                                          AnswerOutcome outcome, bool lastPart,
                                                          const std::optional<LoadReport> &report,
                                                          TimePoint now)
{
    this->latest = now;
    const auto found = this->attempts.find(id.sequence);
    if (found == this->attempts.end() || id != this->dispatchId(id.sequence)) {
        this->counters.add("answer_unknown_dispatch");
        return this->takeEvents();
    }
    Attempt &attempt = found->second;
    const UpstreamId upstreamId = attempt.upstream;
    if (outcome == AnswerOutcome::Shed && attempt.answered) {
        this->counters.add("answer_contradictory");
        return this->takeEvents();
    }
    this->learn(attempt, outcome, report, now);
    switch (outcome) {
    case AnswerOutcome::Success:
        this->deliver(id.sequence, attempt, lastPart, now);
        break;
    case AnswerOutcome::ServerError:
        this->onServerError(id.sequence, attempt, lastPart, now);
        break;
    case AnswerOutcome::Shed:
        this->onShed(id.sequence, attempt, now);
        break;
    }
    this->pumpServicesOf(upstreamId, now);
    return this->takeEvents();
}

void AdmissionController::learn(const Attempt &attempt, AnswerOutcome outcome,
                                const std::optional<LoadReport> &report, TimePoint now)
{
    ServiceState *state = this->service(attempt.service);
    OwnedUpstream *entry = this->upstream(attempt.upstream);
    if (state)
        state->outliers.onAnswer(attempt.upstream);
    if (entry && report)
        this->onLoadReport(attempt.upstream, *report);
    if (attempt.answered || !state)
        return;
    if (outcome != AnswerOutcome::Success) {
        if (entry)
            entry->ramp.onFault();
        return;
    }
    const Duration latency = now - attempt.sentAt;
    const std::optional<Duration> usual
        = state->latency.known() ? std::optional(state->latency.value(latency)) : std::nullopt;
    if (entry)
        entry->ramp.onSuccess(latency, usual, now);
    state->latency.add(latency);
    state->budget.onSuccess(now);
}

void AdmissionController::onLoadReport(UpstreamId upstream, const LoadReport &report)
{
    OwnedUpstream *entry = this->upstream(upstream);
    if (!entry)
        return;
    entry->limiter.assumeAtMost(report.inFlight);
    entry->ramp.onReport(report);
}

void AdmissionController::deliver(Sequence sequence, Attempt &attempt, bool lastPart, TimePoint now)
{
    attempt.answered = true;
    if (lastPart) {
        this->releaseSlot(attempt);
        attempt.keepUntil = now + this->settings.partLinger;
    }
    const std::uint64_t handle = attempt.handle;
    RequestState *state = this->request(handle);
    const bool accepted
        = state ? state->answering.value_or(sequence) == sequence : attempt.delivered;
    if (!accepted) {
        this->counters.add("answer_late");
        return;
    }
    // A part that was overtaken by the last one does not end the request a second time.
    this->events.emplace_back(
        AnswerAccepted{handle, this->dispatchId(sequence), state && lastPart});
    if (!state)
        return;
    state->answering = sequence;
    if (!state->current) {
        if (ServiceState *waitingIn = this->service(state->request.service))
            waitingIn->queue.remove(handle);
        state->current = sequence;
    }
    if (!lastPart)
        return;
    attempt.delivered = true;
    this->end(handle);
}

void AdmissionController::onServerError(Sequence sequence, Attempt &attempt, bool lastPart,
                                        TimePoint now)
{
    RequestState *state = this->request(attempt.handle);
    const bool stale = state && !state->answering && state->current != sequence;
    if (stale) {
        // A later attempt is under way or queued; its answer counts.
        attempt.answered = true;
        this->releaseSlot(attempt);
        return;
    }
    if (!state || state->answering || !this->mayRetry(*state, now)) {
        this->deliver(sequence, attempt, lastPart, now);
        return;
    }
    attempt.answered = true;
    this->releaseSlot(attempt);
    if (!this->spendRetry(state->request.service, now)) {
        this->refuse(attempt.handle, RefusalReason::RetryBudget, Verdict::MayHaveRun);
        return;
    }
    ++state->unknownOutcomes;
    this->retry(*state, attempt, RetryReason::UpstreamError, now);
}

void AdmissionController::onShed(Sequence sequence, Attempt &attempt, TimePoint now)
{
    this->releaseSlot(attempt);
    const Attempt ended = attempt;
    this->attempts.erase(sequence);
    RequestState *state = this->request(ended.handle);
    if (!state)
        return;
    if (state->current != sequence) {
        // An earlier attempt, whose outcome was unknown until now.
        if (state->unknownOutcomes > 0)
            --state->unknownOutcomes;
        return;
    }
    state->current.reset();
    const bool timeLeft
        = state->request.deadline > now && state->retries < this->settings.retriesPerRequest;
    if (!timeLeft)
        this->refuse(ended.handle, RefusalReason::Overloaded, verdictOf(*state));
    else if (!this->spendRetry(state->request.service, now))
        this->refuse(ended.handle, RefusalReason::RetryBudget, verdictOf(*state));
    else
        this->retry(*state, ended, RetryReason::Shed, now);
}

AdmissionController::Events AdmissionController::cancel(std::uint64_t handle, TimePoint now)
{
    this->latest = now;
    if (const RequestState *state = this->request(handle))
        this->refuse(handle, RefusalReason::Cancelled, verdictOf(*state));
    return this->takeEvents();
}

// Time.

AdmissionController::Events AdmissionController::tick(TimePoint now)
{
    this->latest = now;
    std::vector<Sequence> due;
    for (const auto &[sequence, attempt] : this->attempts)
        if (now >= attempt.timeout || now >= attempt.slotUntil || now >= attempt.keepUntil)
            due.push_back(sequence);
    for (const Sequence sequence : due) {
        Attempt &attempt = this->attempts.at(sequence);
        if (now >= attempt.timeout && !attempt.answered && !attempt.missed)
            this->onTimeout(sequence, attempt, now);
        if (now >= attempt.slotUntil)
            this->releaseSlot(attempt);
        if (now >= attempt.keepUntil && !attempt.holdsSlot)
            this->attempts.erase(sequence);
    }
    std::vector<std::uint64_t> late;
    for (const auto &[handle, state] : this->requests)
        if (now >= state.request.deadline)
            late.push_back(handle);
    for (const std::uint64_t handle : late)
        this->refuse(handle, RefusalReason::Deadline, verdictOf(*this->request(handle)));
    for (auto &[id, entry] : this->upstreams)
        entry.limiter.expire(now);
    for (auto &[id, state] : this->services) {
        this->moveOrphans(id, state, now);
        this->pump(state, now);
    }
    return this->takeEvents();
}

void AdmissionController::onTimeout(Sequence sequence, Attempt &attempt, TimePoint now)
{
    attempt.missed = true;
    if (OwnedUpstream *entry = this->upstream(attempt.upstream))
        entry->ramp.onFault();
    // A request that was sent shortly before its deadline says nothing about the upstream.
    ServiceState *state = this->service(attempt.service);
    if (state != nullptr && attempt.timeout - attempt.sentAt >= this->attemptTime(*state)) {
        const bool before = state->outliers.ejected(attempt.upstream);
        state->outliers.onMissedDeadline(attempt.upstream, now);
        if (!before && state->outliers.ejected(attempt.upstream))
            this->onEjected(attempt.service, attempt.upstream, now);
    }
    RequestState *request = this->request(attempt.handle);
    if (!request || request->current != sequence || request->answering
        || !this->mayRetry(*request, now))
        return;
    // Without budget, the first attempt may still answer before the deadline.
    if (!this->spendRetry(attempt.service, now)) {
        this->counters.add("retry_denied");
        return;
    }
    ++request->unknownOutcomes;
    this->retry(*request, attempt, RetryReason::AttemptTimeout, now);
}

void AdmissionController::onEjected(ServiceId service, UpstreamId upstream, TimePoint now)
{
    std::vector<Sequence> waiting;
    for (const auto &[sequence, attempt] : this->attempts)
        if (attempt.upstream == upstream && attempt.service == service && !attempt.answered
            && !attempt.missed)
            waiting.push_back(sequence);
    for (const Sequence sequence : waiting) {
        RequestState *state = this->request(this->attempts.at(sequence).handle);
        if (!state || state->current != sequence || !this->mayRetry(*state, now)
            || !this->spendRetry(service, now))
            continue;
        ++state->unknownOutcomes;
        this->retry(*state, this->attempts.at(sequence), RetryReason::UpstreamEjected, now);
    }
}

void AdmissionController::releaseSlot(Attempt &attempt)
{
    if (!attempt.holdsSlot)
        return;
    attempt.holdsSlot = false;
    // Entries stay while requests of this instance are in flight.
    this->upstream(attempt.upstream)->limiter.release();
}

// Retries and ends of requests.

bool AdmissionController::mayRetry(const RequestState &state, TimePoint now)
{
    const ServiceState *found = this->service(state.request.service);
    return found && state.request.idempotent && state.retries < this->settings.retriesPerRequest
           && now + found->latency.value(Duration(0)) < state.request.deadline;
}

bool AdmissionController::spendRetry(ServiceId service, TimePoint now)
{
    ServiceState *state = this->service(service);
    return state && state->budget.trySpend(now);
}

void AdmissionController::retry(RequestState &state, const Attempt &attempt, RetryReason reason,
                                TimePoint now)
{
    const std::uint64_t handle = state.request.handle;
    ServiceState &serviceState = *this->service(state.request.service);
    state.current.reset();
    state.failed = attempt.upstream;
    ++state.retries;
    this->counters.retry(reason);
    this->events.emplace_back(RetryScheduled{handle, reason});
    if (OwnedUpstream *entry = this->chooseUpstream(serviceState, state, now)) {
        this->events.emplace_back(this->send(serviceState, state, *entry, now));
        return;
    }
    // Another instance cannot know that an earlier attempt may have run, so it gets none of these.
    const bool elsewhere = verdictOf(state) == Verdict::NotRun
                           && !this->hasAlternative(serviceState, attempt.upstream);
    if (const auto peer = elsewhere ? this->relayTarget(state, now) : std::nullopt) {
        this->end(handle);
        this->events.emplace_back(RequestRelayed{handle, *peer});
        return;
    }
    if (const auto refusal = this->enqueue(serviceState, state, now))
        this->refuse(handle, *refusal, verdictOf(state));
}

void AdmissionController::refuse(std::uint64_t handle, RefusalReason reason, Verdict verdict)
{
    this->counters.refuse(reason);
    this->end(handle);
    this->events.emplace_back(RequestRefused{handle, reason, verdict});
}

void AdmissionController::end(std::uint64_t handle)
{
    const auto found = this->requests.find(handle);
    if (ServiceState *state = this->service(found->second.request.service))
        state->queue.remove(handle);
    this->requests.erase(found);
}

Verdict AdmissionController::verdictOf(const RequestState &state)
{
    const bool unknown = state.current || state.unknownOutcomes > 0;
    return unknown ? Verdict::MayHaveRun : Verdict::NotRun;
}

// Reports.

std::vector<FreeSlots> AdmissionController::freeSlots() const
{
    std::vector<FreeSlots> result;
    for (const auto &[serviceId, state] : this->services) {
        std::size_t free = 0;
        for (const UpstreamId id : state.owned) {
            const OwnedUpstream &entry = this->upstreams.at(id);
            const bool healthy = !this->onlyProbed(state, entry) && !state.outliers.suspect(id);
            if (entry.eligible() && healthy)
                free += entry.free(this->latest);
        }
        free -= std::min(free, state.queue.size());
        result.push_back({serviceId, static_cast<std::uint16_t>(free)});
    }
    return result;
}

void AdmissionController::onPeerSlots(InstanceId peer, std::span<const FreeSlots> slots,
                                      TimePoint now)
{
    this->latest = now;
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
            // A draining upstream has no weight, whatever it could bear.
            const bool weightShown = planEjected || status.warmth == entry.plan.weight
                                     || entry.plan.state == UpstreamState::Draining;
            const bool planShows = status.ejected == planEjected && weightShown;
            const bool known = last != entry.reported.end();
            const bool fresh = known && this->latest - last->at < this->settings.statusRepeat;
            const bool same = known ? last->status == status : planShows;
            if (same && (planShows || fresh))
                continue;
            if (known)
                *last = {status, this->latest};
            else
                entry.reported.push_back({status, this->latest});
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

// Look-ups.

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
