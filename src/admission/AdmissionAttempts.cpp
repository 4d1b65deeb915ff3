#include "admission/AdmissionController.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

// The part of AdmissionController that handles answers, timeouts and retries of attempts.

// Answers.

AdmissionController::Events AdmissionController::onAnswer(const DispatchId &id,
                                                          AnswerOutcome outcome, bool lastPart,
                                                          const std::optional<LoadReport> &report,
                                                          TimePoint now)
{
    this->lastCallTime = now;
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
    this->recordAnswer(attempt, outcome, report, now);
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
    this->dispatchQueuedFor(upstreamId, now);
    return this->takeEvents();
}

void AdmissionController::recordAnswer(const Attempt &attempt, AnswerOutcome outcome,
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
    const std::optional<Duration> averageLatency
        = state->latency.known() ? std::optional(state->latency.value(latency)) : std::nullopt;
    if (entry)
        entry->ramp.onSuccess(latency, averageLatency, now);
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
        = state ? state->answeringAttempt.value_or(sequence) == sequence : attempt.delivered;
    if (!accepted) {
        this->counters.add("answer_late");
        return;
    }
    // If the last part was reordered before this one, the request has already ended.
    this->events.emplace_back(
        AnswerAccepted{handle, this->dispatchId(sequence), state && lastPart});
    if (!state)
        return;
    state->answeringAttempt = sequence;
    if (!state->currentAttempt) {
        if (ServiceState *waitingIn = this->service(state->request.service))
            waitingIn->queue.remove(handle);
        state->currentAttempt = sequence;
    }
    if (!lastPart)
        return;
    attempt.delivered = true;
    this->removeRequest(handle);
}

void AdmissionController::onServerError(Sequence sequence, Attempt &attempt, bool lastPart,
                                        TimePoint now)
{
    RequestState *state = this->request(attempt.handle);
    const bool superseded = state && !state->answeringAttempt && state->currentAttempt != sequence;
    if (superseded) {
        // A later attempt is in flight or queued; only its answer is used.
        attempt.answered = true;
        this->releaseSlot(attempt);
        return;
    }
    if (!state || state->answeringAttempt || !this->mayRetry(*state, now)) {
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
    if (state->currentAttempt != sequence) {
        // An earlier attempt, whose outcome was unknown until now.
        if (state->unknownOutcomes > 0)
            --state->unknownOutcomes;
        return;
    }
    state->currentAttempt.reset();
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
    this->lastCallTime = now;
    if (const RequestState *state = this->request(handle))
        this->refuse(handle, RefusalReason::Cancelled, verdictOf(*state));
    return this->takeEvents();
}

// Timeouts and deadlines.

AdmissionController::Events AdmissionController::tick(TimePoint now)
{
    this->lastCallTime = now;
    std::vector<Sequence> due;
    for (const auto &[sequence, attempt] : this->attempts)
        if (now >= attempt.timeout || now >= attempt.slotExpiry || now >= attempt.keepUntil)
            due.push_back(sequence);
    for (const Sequence sequence : due) {
        Attempt &attempt = this->attempts.at(sequence);
        if (now >= attempt.timeout && !attempt.answered && !attempt.timedOut)
            this->onTimeout(sequence, attempt, now);
        if (now >= attempt.slotExpiry)
            this->releaseSlot(attempt);
        if (now >= attempt.keepUntil && !attempt.holdsSlot)
            this->attempts.erase(sequence);
    }
    std::vector<std::uint64_t> expired;
    for (const auto &[handle, state] : this->requests)
        if (now >= state.request.deadline)
            expired.push_back(handle);
    for (const std::uint64_t handle : expired)
        this->refuse(handle, RefusalReason::Deadline, verdictOf(*this->request(handle)));
    for (auto &[id, entry] : this->upstreams)
        entry.limiter.expire(now);
    for (auto &[id, state] : this->services) {
        this->relayOrRefuseQueued(id, state, now);
        this->dispatchQueued(state, now);
    }
    return this->takeEvents();
}

void AdmissionController::onTimeout(Sequence sequence, Attempt &attempt, TimePoint now)
{
    attempt.timedOut = true;
    if (OwnedUpstream *entry = this->upstream(attempt.upstream))
        entry->ramp.onFault();
    // An attempt whose timeout was shortened by the deadline is no evidence against the upstream.
    ServiceState *state = this->service(attempt.service);
    if (state != nullptr && attempt.timeout - attempt.sentAt >= this->attemptTimeout(*state)) {
        const bool before = state->outliers.ejected(attempt.upstream);
        state->outliers.onMissedDeadline(attempt.upstream, now);
        if (!before && state->outliers.ejected(attempt.upstream))
            this->onEjected(attempt.service, attempt.upstream, now);
    }
    RequestState *request = this->request(attempt.handle);
    if (!request || request->currentAttempt != sequence || request->answeringAttempt
        || !this->mayRetry(*request, now))
        return;
    // If the retry budget is used up, this attempt may still be answered before the deadline.
    if (!this->spendRetry(attempt.service, now)) {
        this->counters.add("retry_denied");
        return;
    }
    ++request->unknownOutcomes;
    this->retry(*request, attempt, RetryReason::AttemptTimeout, now);
}

void AdmissionController::onEjected(ServiceId service, UpstreamId upstream, TimePoint now)
{
    std::vector<Sequence> unanswered;
    for (const auto &[sequence, attempt] : this->attempts)
        if (attempt.upstream == upstream && attempt.service == service && !attempt.answered
            && !attempt.timedOut)
            unanswered.push_back(sequence);
    for (const Sequence sequence : unanswered) {
        RequestState *state = this->request(this->attempts.at(sequence).handle);
        if (!state || state->currentAttempt != sequence || !this->mayRetry(*state, now)
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
    // The entry exists: setPlan() keeps it while requests of this instance are in flight.
    this->upstream(attempt.upstream)->limiter.release();
}

// Retries and completion of requests.

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
    state.currentAttempt.reset();
    state.failedUpstream = attempt.upstream;
    ++state.retries;
    this->counters.retry(reason);
    this->events.emplace_back(RetryScheduled{handle, reason});
    if (OwnedUpstream *entry = this->chooseUpstream(serviceState, state, now)) {
        this->events.emplace_back(this->send(serviceState, state, *entry, now));
        return;
    }
    // Not relayed if an earlier attempt may have run, because the other instance would not know.
    const bool mayRelay = verdictOf(state) == Verdict::NotRun
                          && !this->hasAlternative(serviceState, attempt.upstream);
    if (const auto peer = mayRelay ? this->relayTarget(state, now) : std::nullopt) {
        this->removeRequest(handle);
        this->events.emplace_back(RequestRelayed{handle, *peer});
        return;
    }
    if (const auto refusal = this->enqueue(serviceState, state, now))
        this->refuse(handle, *refusal, verdictOf(state));
}

void AdmissionController::refuse(std::uint64_t handle, RefusalReason reason, Verdict verdict)
{
    this->counters.refuse(reason);
    this->removeRequest(handle);
    this->events.emplace_back(RequestRefused{handle, reason, verdict});
}

void AdmissionController::removeRequest(std::uint64_t handle)
{
    const auto found = this->requests.find(handle);
    if (ServiceState *state = this->service(found->second.request.service))
        state->queue.remove(handle);
    this->requests.erase(found);
}

Verdict AdmissionController::verdictOf(const RequestState &state)
{
    const bool unknown = state.currentAttempt || state.unknownOutcomes > 0;
    return unknown ? Verdict::MayHaveRun : Verdict::NotRun;
}

} // namespace bulrushgap
