#include "plan/PlanWriter.h"

#include "plan/PlanJson.h"
#include "plan/Planner.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bulrushgap {

PlanActions PlanWriter::propose(const Plan &plan, TimePoint now)
{
    PlanActions actions;
    if (plan.configVersion < this->newest.configVersion) {
        this->counters.add("invariant_config_reverted");
        return actions;
    }
    if (!differs(plan, this->newest) && (this->phase != Phase::Idle || !this->unsaved()))
        return actions;
    if (this->inOutage(now)) {
        if (plan.configVersion == this->newest.configVersion)
            this->publishOverlay(plan, actions);
        else
            this->counters.add("plan_proposal_deferred");
    } else if (this->phase == Phase::Idle) {
        this->startAttempt(plan);
        this->write(now, actions);
    } else {
        this->counters.add("plan_proposal_deferred");
    }
    return actions;
}

PlanActions PlanWriter::observe(const Plan &plan)
{
    PlanActions actions;
    if (plan.id <= this->newest.id)
        return actions;
    this->adoptRival(plan, actions);
    // The pending update has an older base; the caller builds a new plan on this one.
    if (this->phase == Phase::WaitingToWrite || this->phase == Phase::WaitingToRead)
        this->returnToIdle();
    return actions;
}

PlanActions PlanWriter::load(TimePoint now)
{
    PlanActions actions;
    if (this->phase == Phase::Idle)
        this->read(now, actions);
    return actions;
}

PlanActions PlanWriter::onWriteResult(std::uint64_t writeId, const WriteResult &result,
                                      TimePoint now)
{
    PlanActions actions;
    if (!this->attempt || this->attempt->writeId != writeId)
        return actions;
    // Accept a late success in every phase; otherwise no update would succeed on a slow store.
    if (this->phase != Phase::Writing && result.kind != WriteResult::Kind::Ok)
        return actions;
    switch (result.kind) {
    case WriteResult::Kind::Ok:
        this->accept(result.version, now, actions);
        break;
    case WriteResult::Kind::Conflict:
        this->counters.add("plan_write_conflict");
        this->read(now, actions);
        break;
    case WriteResult::Kind::LostAnswer:
        this->counters.add("plan_write_lost_answer");
        this->backOff(Phase::WaitingToRead, now);
        break;
    case WriteResult::Kind::Unavailable:
        this->counters.add("plan_write_unavailable");
        this->backOff(Phase::WaitingToWrite, now);
        break;
    case WriteResult::Kind::TooManyRequests:
        this->counters.add("plan_write_rate_limited");
        this->backOff(Phase::WaitingToWrite, now);
        break;
    }
    return actions;
}

PlanActions PlanWriter::onReadResult(const ReadResult &result, TimePoint now)
{
    PlanActions actions;
    if (this->phase != Phase::Reading && this->phase != Phase::WaitingToRead)
        return actions;
    const bool found = result.kind == ReadResult::Kind::Found;
    const bool missing = result.kind == ReadResult::Kind::Missing;
    const bool unavailable = result.kind == ReadResult::Kind::Unavailable;
    if (unavailable || (!missing && result.version < this->storeVersion)) {
        this->counters.add("plan_read_retry");
        // An instance that starts during an outage must enter overlay mode without a failed write.
        if (unavailable && !this->withoutSuccessSince)
            this->withoutSuccessSince = now;
        this->backOff(Phase::WaitingToRead, now);
        return actions;
    }
    if (found && this->attempt && result.writeId == this->attempt->writeId) {
        this->counters.add("plan_write_recovered");
        this->accept(result.version, now, actions);
        return actions;
    }
    const std::uint64_t version = missing ? 0 : result.version;
    if (version == this->storeVersion) {
        this->resume(now, actions);
        return actions;
    }
    this->storeVersion = version;
    if (found) {
        this->adoptRead(result, actions);
        return actions;
    }
    // The object was deleted or is invalid: retry the same content with the current version.
    if (this->attempt)
        this->startAttempt(Plan(this->attempt->plan));
    this->resume(now, actions);
    return actions;
}

PlanActions PlanWriter::tick(TimePoint now)
{
    PlanActions actions;
    // If the process was suspended, the elapsed time does not indicate a store outage.
    if (this->lastTick && now - *this->lastTick >= this->settings.overlayAfter
        && this->withoutSuccessSince)
        this->withoutSuccessSince = now;
    this->lastTick = now;
    if (this->phase == Phase::Idle)
        return actions;
    if (this->inOutage(now) && this->attempt && !this->overlayUnsaved
        && this->attempt->plan.configVersion == this->newest.configVersion)
        this->publishOverlay(Plan(this->attempt->plan), actions);
    if (now < this->phaseEnd)
        return actions;
    switch (this->phase) {
    case Phase::Writing:
        this->counters.add("plan_write_lost_answer");
        this->backOff(Phase::WaitingToRead, now);
        break;
    case Phase::Reading:
        this->counters.add("plan_read_retry");
        this->backOff(Phase::WaitingToRead, now);
        break;
    case Phase::WaitingToWrite:
        this->resume(now, actions);
        break;
    case Phase::WaitingToRead:
        this->read(now, actions);
        break;
    case Phase::Idle:
        break;
    }
    return actions;
}

/** The write id combines the writer id with a random number, to avoid collisions with rivals and
 * earlier boots of this instance. */
void PlanWriter::startAttempt(const Plan &plan)
{
    Attempt next;
    next.plan = plan;
    next.plan.id = {this->storeVersion, 0, this->settings.writer};
    next.ifVersion = this->storeVersion;
    next.writeId = this->random() ^ this->settings.writer;
    this->attempt = std::move(next);
}

void PlanWriter::write(TimePoint now, PlanActions &actions)
{
    assert(this->attempt);
    this->counters.add("plan_write");
    if (!this->withoutSuccessSince)
        this->withoutSuccessSince = now;
    this->phase = Phase::Writing;
    this->phaseEnd = now + this->settings.answerTimeout;
    actions.emplace_back(WritePlan{planToJson(this->attempt->plan, this->attempt->writeId),
                                   this->attempt->ifVersion, this->attempt->writeId});
}

void PlanWriter::read(TimePoint now, PlanActions &actions)
{
    this->phase = Phase::Reading;
    this->phaseEnd = now + this->settings.answerTimeout;
    actions.emplace_back(ReadPlan{});
}

/** The delay doubles with each failure. Jitter of up to half the delay keeps writers that failed at
 * the same time from retrying at the same time. */
void PlanWriter::backOff(Phase next, TimePoint now)
{
    constexpr unsigned maxDoublings = 10;
    const Duration limit
        = std::min(this->settings.longestBackOff,
                   this->settings.firstBackOff * (1U << std::min(this->failures, maxDoublings)));
    std::uniform_int_distribution<Duration::rep> jitter(limit.count() / 2, limit.count());
    ++this->failures;
    this->phase = next;
    this->phaseEnd = now + Duration(jitter(this->random));
}

/** \brief Completes the outstanding update, which was stored as \a version. */
void PlanWriter::accept(std::uint64_t version, TimePoint now, PlanActions &actions)
{
    Plan plan = std::move(this->attempt->plan);
    plan.id = {version, 0, this->settings.writer};
    if (plan.id <= this->newest.id) {
        this->returnToIdle(); // A newer plan is already known.
        return;
    }
    this->storeVersion = version;
    const bool superseded = this->overlayUnsaved && differs(plan, this->newest)
                            && plan.configVersion == this->newest.configVersion;
    if (superseded) {
        // A newer overlay is active: store it instead of reverting to older content for one round
        // trip.
        this->startAttempt(this->newest);
        this->write(now, actions);
        return;
    }
    if (this->advanceTo(plan))
        actions.emplace_back(AdoptPlan{std::move(plan), false});
    this->returnToIdle();
}

/** \brief Adopts a rival's plan returned by a read. */
void PlanWriter::adoptRead(const ReadResult &result, PlanActions &actions)
{
    Plan plan = result.plan;
    plan.id.storeVersion = result.version;
    plan.id.overlay = 0;
    if (plan.id > this->newest.id)
        this->adoptRival(plan, actions);
    this->returnToIdle();
}

void PlanWriter::adoptRival(const Plan &plan, PlanActions &actions)
{
    this->storeVersion = std::max(this->storeVersion, plan.id.storeVersion);
    if (!this->advanceTo(plan))
        return;
    this->overlayUnsaved = false;
    actions.emplace_back(AdoptPlan{plan, true});
}

void PlanWriter::publishOverlay(const Plan &content, PlanActions &actions)
{
    Plan plan = content;
    const std::uint64_t version = std::max(this->storeVersion, this->newest.id.storeVersion);
    const bool sameVersion = this->newest.id.storeVersion == version;
    plan.id = {version, sameVersion ? this->newest.id.overlay + 1 : 1, this->settings.writer};
    if (!this->advanceTo(plan))
        return;
    this->counters.add("plan_overlay");
    this->overlayUnsaved = true;
    actions.emplace_back(PublishOverlay{std::move(plan)});
}

/** \brief Writes the newest overlay or retries the outstanding update. */
void PlanWriter::resume(TimePoint now, PlanActions &actions)
{
    const bool newer
        = this->overlayUnsaved && (!this->attempt || differs(this->attempt->plan, this->newest));
    if (newer)
        this->startAttempt(this->newest);
    // An update of an older version cannot succeed; the caller builds a plan on the new base.
    if (this->attempt && this->attempt->ifVersion == this->storeVersion)
        this->write(now, actions);
    else
        this->returnToIdle();
}

void PlanWriter::returnToIdle()
{
    this->attempt.reset();
    this->phase = Phase::Idle;
    this->withoutSuccessSince.reset();
    this->failures = 0;
    this->overlayUnsaved = false;
}

/** \returns whether \a plan became the newest one; plan ids never decrease. */
bool PlanWriter::advanceTo(const Plan &plan)
{
    if (plan.id <= this->newest.id) {
        this->counters.add("invariant_plan_id_reverted");
        return false;
    }
    if (plan.configVersion < this->newest.configVersion)
        this->counters.add("invariant_config_reverted");
    this->newest = plan;
    return true;
}

} // namespace bulrushgap
