#include "readiness/DomainReadiness.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

using std::chrono::milliseconds;

/** Consecutive failed rounds before a withdrawal. */
constexpr unsigned roundsToWithdraw = 2;

/** Instances of each other domain that a round connects to. */
constexpr std::size_t peersPerDomain = 2;

constexpr Duration roundInterval = milliseconds(150);
constexpr Duration withdrawnRoundInterval = milliseconds(250);

/** Limits the connections caused by upstreams that become suspect without a partition. */
constexpr Duration minRoundInterval = milliseconds(250);

/** Timeout of a connection attempt, as in DomainReadinessHooks::connect. */
constexpr Duration connectTimeout = milliseconds(110);

/** A timer or a result that is later than this means that the process was paused. */
constexpr Duration pauseTolerance = milliseconds(100);

/** A suspicion older than this does not start a round. */
constexpr Duration suspicionLifetime = std::chrono::seconds(2);

/** An upstream that fails alone is suspect while others answer; their next answers refute the
 * partition without a round. */
constexpr Duration refutationTime = milliseconds(60);

/** Without an answer of another domain for this long, an instance connects to one of them. */
constexpr Duration maxSilence = milliseconds(500);

/** No withdrawal this soon after a start: the view may come from an instance that starts as well.
 */
constexpr Duration holdAfterStart = std::chrono::seconds(1);

/** No withdrawal this soon after a return to rotation. */
constexpr Duration holdAfterReturn = std::chrono::seconds(5);

/** Limits the outage that a wrong withdrawal causes. */
constexpr Duration maxWithdrawal = std::chrono::seconds(20);

/** \returns whether the own domain serves by itself, or the others could serve no better. */
bool mustStay(DomainSupply supply)
{
    return supply == DomainSupply::Own || supply == DomainSupply::Nowhere;
}

} // namespace internal

DomainReadiness::DomainReadiness(const Scheduler &scheduler, const Member &self, Counters &counters,
                                 Log &log, DomainReadinessHooks hooks)
    : scheduler(scheduler)
    , counters(counters)
    , log(log)
    , hooks(std::move(hooks))
    , rotation(self)
{}

void DomainReadiness::start()
{
    this->active = true;
    const TimePoint now = this->scheduler.now();
    this->startPending = this->hooks.facts().supply == DomainSupply::OwnUnusable
                         && this->rotation.hasPeer(this->hooks.instances());
    this->holdUntil = this->startPending ? now : now + internal::holdAfterStart;
    if (this->startPending)
        this->startRound(now);
    else
        this->evaluate();
}

void DomainReadiness::stop()
{
    this->active = false;
    this->abandonRounds();
    this->cancelTimer();
}

void DomainReadiness::onChange()
{
    if (this->active)
        this->evaluate();
}

void DomainReadiness::onSuspicion()
{
    this->suspectedAt = this->scheduler.now();
    this->onChange();
}

void DomainReadiness::evaluate()
{
    const TimePoint now = this->scheduler.now();
    this->discardAfterPause(now);
    const ReadinessFacts facts = this->hooks.facts();
    if (this->withdrawnAt)
        this->evaluateWithdrawn(facts, now);
    else
        this->evaluateInRotation(facts, now);
}

void DomainReadiness::evaluateInRotation(const ReadinessFacts &facts, TimePoint now)
{
    if (internal::mustStay(facts.supply) || !this->rotation.hasPeer(this->hooks.instances())) {
        this->abandonRounds();
        this->cancelTimer();
        this->startPending = false;
        this->unresolved = false;
        this->connectionsStarted = 0;
        return;
    }
    if (this->round)
        return;
    if (now < this->holdUntil) {
        this->schedule(this->holdUntil, now);
        return;
    }
    this->clearRefuted(facts);
    const auto roundAt = this->nextRoundAt(facts, now);
    const auto checkAt = this->singleCheckAt(facts);
    if (roundAt && *roundAt <= now)
        this->startRound(now);
    else if (checkAt && !roundAt && *checkAt <= now)
        this->startSingleCheck(now);
    else if (roundAt || checkAt)
        this->schedule(roundAt ? *roundAt : *checkAt, now);
    else
        this->cancelTimer();
}

void DomainReadiness::evaluateWithdrawn(const ReadinessFacts &facts, TimePoint now)
{
    const TimePoint limit = *this->withdrawnAt + internal::maxWithdrawal;
    if (facts.supply == DomainSupply::Own) {
        this->returnToRotation("own_upstream", 0, now);
    } else if (facts.supply == DomainSupply::Nowhere) {
        this->returnToRotation("no_other_upstream", 0, now);
    } else if (!this->rotation.hasPeer(this->hooks.instances())) {
        this->returnToRotation("no_other_instance", 0, now);
    } else if (now >= limit) {
        this->unresolved = true;
        this->returnToRotation("time_limit", 0, now);
    } else if (!this->round) {
        const TimePoint at = this->lastRoundAt + internal::withdrawnRoundInterval;
        if (at > now)
            this->schedule(std::min(at, limit), now);
        else
            this->startRound(now);
    }
}

void DomainReadiness::discardAfterPause(TimePoint now)
{
    if (!this->dueAt || now - *this->dueAt <= internal::pauseTolerance)
        return;
    this->unresolved = this->unresolved || this->failedRounds > 0;
    this->abandonRounds();
}

void DomainReadiness::clearRefuted(const ReadinessFacts &facts)
{
    if (facts.lastAnswerElsewhere <= this->lastRoundAt)
        return;
    this->failedRounds = 0;
    this->startPending = false;
    this->unresolved = false;
    this->connectionsStarted = 0;
}

std::optional<TimePoint> DomainReadiness::nextRoundAt(const ReadinessFacts &facts,
                                                      TimePoint now) const
{
    if (this->failedRounds > 0 || this->unresolved || this->startPending)
        return this->lastRoundAt + internal::roundInterval;
    const auto suspicion = std::max(this->suspectedAt, facts.sourceLostAt);
    const TimePoint contact = std::max(facts.lastAnswerElsewhere, this->reachedAt);
    if (!suspicion || *suspicion <= contact || now - *suspicion > internal::suspicionLifetime)
        return std::nullopt;
    return std::max(contact + internal::refutationTime,
                    this->lastRoundAt + internal::minRoundInterval);
}

std::optional<TimePoint> DomainReadiness::singleCheckAt(const ReadinessFacts &facts) const
{
    if (facts.supply != DomainSupply::OwnUnusable)
        return std::nullopt;
    return std::max(facts.lastAnswerElsewhere, this->reachedAt) + internal::maxSilence;
}

void DomainReadiness::startRound(TimePoint now)
{
    this->lastRoundAt = now;
    this->connect(this->rotation.next(this->hooks.instances(), internal::peersPerDomain), false,
                  now);
}

void DomainReadiness::startSingleCheck(TimePoint now)
{
    const auto peers = this->rotation.next(this->hooks.instances(), 1);
    const std::size_t selected = this->lastRound % peers.size();
    this->connect(std::span(peers).subspan(selected, 1), true, now);
}

void DomainReadiness::connect(std::span<const Endpoint> peers, bool isSingleCheck, TimePoint now)
{
    this->cancelTimer();
    this->round = Round{++this->lastRound, now, peers.size(), isSingleCheck};
    this->connectionsStarted += peers.size();
    this->counters.add("readiness_connect", peers.size());
    for (const Endpoint peer : peers) {
        this->hooks.connect(peer, [this, number = this->lastRound](bool connected) {
            this->onResult(number, connected);
        });
    }
}

void DomainReadiness::onResult(std::uint64_t number, bool connected)
{
    if (!this->round || this->round->number != number)
        return;
    const TimePoint now = this->scheduler.now();
    if (connected) {
        this->onReached(now);
        return;
    }
    if (now - this->round->startedAt > internal::connectTimeout + internal::pauseTolerance) {
        this->abandonRounds();
        this->unresolved = true;
        this->evaluate();
        return;
    }
    if (--this->round->pending == 0)
        this->onRoundFailed(now);
}

void DomainReadiness::onReached(TimePoint now)
{
    this->abandonRounds();
    this->startPending = false;
    this->unresolved = false;
    this->reachedAt = now;
    if (this->withdrawnAt)
        this->returnToRotation("peer_reached", 1, now);
    else
        this->connectionsStarted = 0;
    this->evaluate();
}

void DomainReadiness::onRoundFailed(TimePoint now)
{
    const bool isSingleCheck = this->round->isSingleCheck;
    this->round.reset();
    if (isSingleCheck) {
        this->suspectedAt = now;
    } else if (!this->withdrawnAt) {
        ++this->failedRounds;
        const ReadinessFacts facts = this->hooks.facts();
        const bool contradicted
            = internal::mustStay(facts.supply) || facts.lastAnswerElsewhere > this->lastRoundAt;
        if (this->failedRounds >= internal::roundsToWithdraw && !contradicted)
            this->withdraw(facts.supply, now);
    }
    this->evaluate();
}

void DomainReadiness::abandonRounds()
{
    this->round.reset();
    this->failedRounds = 0;
}

void DomainReadiness::withdraw(DomainSupply supply, TimePoint now)
{
    this->withdrawnAt = now;
    this->startPending = false;
    this->abandonRounds();
    this->counters.add("readiness_withdrawn");
    this->report(
        "withdrawn",
        supply == DomainSupply::OwnUnusable ? "own_upstreams_unusable" : "no_own_upstreams", 0);
}

void DomainReadiness::returnToRotation(std::string_view reason, std::size_t reached, TimePoint now)
{
    this->withdrawnAt.reset();
    this->abandonRounds();
    this->holdUntil = now + internal::holdAfterReturn;
    this->report("returned", reason, reached);
    this->schedule(this->holdUntil, now);
}

void DomainReadiness::report(std::string_view outcome, std::string_view reason, std::size_t reached)
{
    this->log.info("readiness", {{"outcome", outcome},
                                 {"reason", reason},
                                 {"peers_asked", this->connectionsStarted},
                                 {"peers_reached", reached}});
    this->connectionsStarted = 0;
}

void DomainReadiness::schedule(TimePoint at, TimePoint now)
{
    this->dueAt = at;
    this->timer = this->scheduler.after(at - now, [this] { this->evaluate(); });
}

void DomainReadiness::cancelTimer()
{
    this->dueAt.reset();
    this->timer.reset();
}

} // namespace bulrushgap::balance
