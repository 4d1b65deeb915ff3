#include "view/SourcedStore.h"

#include <algorithm>
#include <string>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

using std::chrono::milliseconds;

/** Watch that probes whether the source responds. */
constexpr milliseconds probeWait{60};

/** First watch of a kind at a source. A store that has lost its history may report this only when
 * the watch expires, and changes would be missed until then. */
constexpr milliseconds initialWait{400};

/** Bounds the delay of changes when a connection stops responding without an error. */
constexpr milliseconds defaultWait{3'000};

/** Configuration watch, which also serves as liveness check of the source. */
constexpr milliseconds peerConfigurationWait{700};
constexpr milliseconds storeConfigurationWait{1'000};

/** A starting instance prefers sources whose view the store has confirmed this recently: an older
 * one may have upstreams that have left, or routes that were removed. */
constexpr Duration maxStartAge = std::chrono::seconds(3);

/** Time after which a starting instance takes any view: it then knows of no better one. */
constexpr Duration startAgeTimeout = milliseconds(300);

constexpr milliseconds memberWait{15'000};

/** A watch at another instance ends this long before the view is too old, but not at once. */
constexpr Duration deadlineMargin = milliseconds(200);
constexpr milliseconds minPeerWait{100};

/** Interval at which an instance with an old view checks whether it may leave its source. */
constexpr Duration deadlineCheckInterval = milliseconds(100);

/** An answer is arriving if bytes of it have come this recently. */
constexpr Duration maxArrivalGap = milliseconds(200);

/** How long an arriving answer may delay that an instance leaves its source with an old view; the
 * store may have a faster link. */
constexpr Duration maxArrivalDelay = std::chrono::seconds(2);

/** Two ages of the same view differ by the transit times of the replies that told them. */
constexpr Duration minAgeDifference = milliseconds(100);

bool isAnswer(PlatformResult result)
{
    return result == PlatformResult::Ok || result == PlatformResult::Gone;
}

} // namespace internal

SourcedStore::SourcedStore(const Scheduler &scheduler, ObjectSource &store, ViewSources &sources,
                           Counters &counters, Log &log, SourcedStoreHooks hooks)
    : scheduler(scheduler)
    , store(store)
    , sources(sources)
    , counters(counters)
    , log(log)
    , hooks(std::move(hooks))
    , startedAt(scheduler.now())
{}

ObjectSource &SourcedStore::clientFor(const ViewSource &source)
{
    if (source.isStore())
        return this->store;
    auto &peer = this->peers[source];
    if (!peer)
        peer = this->hooks.connectPeer(source);
    return *peer;
}

bool SourcedStore::isArriving(const ViewSource &source)
{
    const auto last = this->clientFor(source).lastArrival();
    return last && this->scheduler.now() - *last <= internal::maxArrivalGap;
}

void SourcedStore::noteConfigurationAsked(const ViewSource &source, ViewKind kind, Duration wait)
{
    if (source.isStore() && kind == ViewKind::Configurations && !this->configurationDueAt)
        this->configurationDueAt = this->scheduler.now() + wait;
}

void SourcedStore::noteConfigurationAnswered(const ViewSource &source, ViewKind kind)
{
    if (source.isStore() && kind == ViewKind::Configurations)
        this->configurationDueAt.reset();
}

bool SourcedStore::isConnected() const
{
    if (this->verified)
        return true;
    // The age counts as well: otherwise the grace periods of all levels of the tree would add up.
    return this->lostAt
           && this->scheduler.now() - *this->lostAt + this->ageAtLoss
                  < this->sources.sourceLossGracePeriod();
}

Duration SourcedStore::age() const
{
    return this->scheduler.now() - this->confirmedAt.value_or(this->startedAt);
}

void SourcedStore::list(ViewKind kind, ListHandler handler)
{
    if (this->sources.isStarting()) {
        this->listAtStart(kind, std::move(handler));
        return;
    }
    this->sources.retryPreferred(this->scheduler.now());
    const auto source = this->sources.current();
    this->noteConfigurationAsked(source, kind, internal::initialWait);
    this->clientFor(source).list(
        kind, [this, kind, source, handler = std::move(handler)](ViewList outcome) {
            if (internal::isAnswer(outcome.result))
                this->noteConfigurationAnswered(source, kind);
            this->onResult(source, outcome.result, outcome.freshness);
            handler(std::move(outcome));
        });
}

void SourcedStore::listAtStart(ViewKind kind, ListHandler handler)
{
    HedgedList::Hooks listHooks;
    listHooks.isResponding = [this](const ViewSource &source) {
        return this->startSources.contains(source);
    };
    listHooks.isArriving = [this](const ViewSource &source) {
        return this->isArriving(source);
    };
    listHooks.send = [this, kind](const ViewSource &source, const ListHandler &onList) {
        this->clientFor(source).list(kind, [this, source, onList](ViewList outcome) {
            if (this->isTooOldForStart(outcome.freshness))
                this->delayStartList(source, std::move(outcome), onList);
            else
                this->onStartList(source, std::move(outcome), onList);
        });
    };
    HedgedList::start(this->scheduler, this->sources.startPlan(), std::move(listHooks),
                      std::move(handler));
}

void SourcedStore::delayStartList(const ViewSource &source, ViewList outcome, ListHandler onList)
{
    this->counters.add("source_too_old");
    const Duration left = this->startedAt + internal::startAgeTimeout - this->scheduler.now();
    const auto kept = std::make_shared<ViewList>(std::move(outcome));
    this->delayedLists.push_back(
        this->scheduler.after(left, [this, source, kept, onList = std::move(onList)] {
            this->onStartList(source, std::move(*kept), onList);
        }));
}

void SourcedStore::onStartList(const ViewSource &source, ViewList outcome,
                               const ListHandler &onList)
{
    if (outcome.result == PlatformResult::Ok)
        this->onStartAnswer(source, outcome.freshness);
    onList(std::move(outcome));
}

void SourcedStore::onStartAnswer(const ViewSource &source, const ReplyFreshness &freshness)
{
    this->startSources.insert(source);
    this->sources.onStartAnswer(source);
    if (source == this->sources.current()) {
        this->onAnswer(source, freshness);
        return;
    }
    this->noteFreshness(source, freshness);
    // The view may be passed on until the preferred source has answered or failed.
    this->lostAt = this->scheduler.now();
}

void SourcedStore::watch(ViewKind kind, StoreRevision since, WatchHandler handler)
{
    this->sources.retryPreferred(this->scheduler.now());
    const auto source = this->sources.current();
    const auto watch
        = std::make_shared<PendingWatch>(PendingWatch{kind, since, std::move(handler), source});
    this->pending.push_back(watch);
    if (this->probePending && this->probeSource == source) {
        this->deferred.push_back(watch);
        return;
    }
    // After a failure, a single watch probes the source before the others are sent.
    this->probePending = !this->verified;
    this->probeSource = source;
    this->send(watch, this->probePending);
}

void SourcedStore::send(const PendingWatchPtr &watch, bool probe)
{
    const auto onAnswer = [this, watch, probe](ViewEvents outcome) {
        if (std::exchange(watch->done, true))
            return;
        this->pending.remove(watch);
        if (internal::isAnswer(outcome.result)
            && !this->isCurrentEnough(watch->source, outcome.freshness))
            outcome = ViewEvents{PlatformResult::Busy, 0, {}, {}};
        if (!probe && outcome.result == PlatformResult::Ok
            && watch->source == this->sources.current())
            this->confirmed.insert(watch->kind);
        if (internal::isAnswer(outcome.result))
            this->noteConfigurationAnswered(watch->source, watch->kind);
        this->onResult(watch->source, outcome.result, outcome.freshness);
        watch->handler(std::move(outcome));
    };
    const auto wait = probe ? internal::probeWait : this->waitFor(watch->kind, watch->source);
    this->noteConfigurationAsked(watch->source, watch->kind, wait);
    this->clientFor(watch->source).watchFor(watch->kind, watch->since, wait, onAnswer);
}

void SourcedStore::endProbe(const ViewSource &source, bool answered)
{
    if (!this->probePending || this->probeSource != source)
        return;
    this->probePending = false;
    for (const PendingWatchPtr &watch : std::exchange(this->deferred, {})) {
        if (watch->done)
            continue;
        if (answered) {
            this->send(watch, false);
            continue;
        }
        watch->done = true;
        this->pending.remove(watch);
        watch->handler(ViewEvents{});
    }
}

std::chrono::milliseconds SourcedStore::waitFor(ViewKind kind, const ViewSource &source) const
{
    if (!this->confirmed.contains(kind))
        return internal::initialWait;
    if (kind == ViewKind::Members)
        return internal::memberWait;
    if (kind != ViewKind::Configurations)
        return internal::defaultWait;
    if (source.isStore())
        return internal::storeConfigurationWait;
    if (!this->isFresh())
        return internal::peerConfigurationWait;
    const Duration left = this->sources.freshnessLimit() - this->age() - internal::deadlineMargin;
    return std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(left),
                      internal::minPeerWait, internal::peerConfigurationWait);
}

bool SourcedStore::isTooOldForStart(const ReplyFreshness &freshness) const
{
    return this->sources.isStarting() && freshness.age > internal::maxStartAge
           && this->scheduler.now() - this->startedAt < internal::startAgeTimeout;
}

void SourcedStore::onResult(const ViewSource &source, PlatformResult result,
                            const ReplyFreshness &freshness)
{
    const bool answered = internal::isAnswer(result);
    this->endProbe(source, answered);
    if (source != this->sources.current())
        return;
    if (answered) {
        this->onAnswer(source, freshness);
        return;
    }
    if (this->isWithinBusyGrace(source, result))
        return;
    // The source is not lost, only this call is.
    if (this->isArriving(source)) {
        this->counters.add("source_call_failed");
        return;
    }
    // One grace period for each round of sources: several in a row would keep this instance from
    // the store for seconds although the store answers it.
    if (source.isStore())
        this->busySince.reset();
    this->noteSourceLost();
    this->storeFailed = this->storeFailed || source.isStore();
    if (!this->isFresh())
        this->sources.addAskersAfterStore();
    this->sources.onSourceFailed(this->scheduler.now());
    this->counters.add("source_failed");
    this->log.warn("source_failed", {{"source", source.toString()},
                                     {"result", toString(result)},
                                     {"next", this->sources.current().toString()},
                                     {"age_ms", toMilliseconds(this->age())}});
    this->failPending(source);
    if (source.isStore())
        this->hooks.onStoreLost();
}

void SourcedStore::onAnswer(const ViewSource &source, const ReplyFreshness &freshness)
{
    this->direct = source.isStore();
    this->verified = true;
    if (!source.isStore())
        this->configurationDueAt.reset();
    const bool changed = this->answeredSource != source;
    this->noteFreshness(source, freshness);
    if (changed)
        this->moveWatchesTo(source);
    if (this->isFresh())
        this->busySince.reset();
}

void SourcedStore::moveWatchesTo(const ViewSource &source)
{
    std::list<PendingWatchPtr> moved;
    std::set<ViewSource> left;
    for (const PendingWatchPtr &watch : this->pending) {
        if (watch->source == source || this->isArriving(watch->source))
            continue;
        moved.push_back(watch);
        left.insert(watch->source);
    }
    for (const ViewSource &former : left)
        this->clientFor(former).dropWatches();
    for (const PendingWatchPtr &watch : moved) {
        watch->done = true;
        this->pending.remove(watch);
        const auto next = std::make_shared<PendingWatch>(
            PendingWatch{watch->kind, watch->since, std::move(watch->handler), source});
        this->pending.push_back(next);
        this->send(next, false);
    }
}

void SourcedStore::noteSourceLost()
{
    if (std::exchange(this->verified, false)) {
        this->lostAt = this->scheduler.now();
        this->ageAtLoss = this->age();
    }
    this->direct = false;
    this->confirmed.clear();
    this->configurationDueAt.reset();
}

bool SourcedStore::isCurrentEnough(const ViewSource &source, const ReplyFreshness &freshness) const
{
    const bool inUse = this->verified && this->answeredSource == source;
    if (source.isStore() || inUse || !this->confirmedAt || this->sources.isStarting())
        return true;
    if (!source.mustBeNewer && freshness.age <= this->sources.freshnessLimit())
        return true;
    return freshness.age + internal::minAgeDifference <= this->age();
}

void SourcedStore::startDeadline(Duration minDelay)
{
    const Duration left = this->deadline.remaining(this->age(), this->sources.freshnessLimit(),
                                                   this->scheduler.now());
    this->deadlineTimer
        = this->scheduler.after(std::max(left, minDelay), [this] { this->onDeadline(); });
}

void SourcedStore::onDeadline()
{
    const TimePoint now = this->scheduler.now();
    const Duration limit = this->sources.freshnessLimit();
    const ViewSource source = this->sources.current();
    // A call to the store that gets no answer fails by itself.
    if (source.isStore() || this->sources.isStarting()
        || this->deadline.remaining(this->age(), limit, now) > Duration::zero()) {
        this->startDeadline(internal::deadlineCheckInterval);
        return;
    }
    if (this->age() < limit + internal::maxArrivalDelay && this->isArriving(source)) {
        this->counters.add("view_stale_arriving");
        this->startDeadline(internal::deadlineCheckInterval);
        return;
    }
    const bool first = this->deadline.onPassed(now);
    this->noteSourceLost();
    this->sources.onViewStale(now, !first);
    this->counters.add("view_stale");
    this->log.warn("view_stale", {{"source", source.toString()},
                                  {"age_ms", toMilliseconds(this->age())},
                                  {"limit_ms", toMilliseconds(limit)}});
    this->startDeadline(internal::deadlineCheckInterval);
    this->endProbe(source, false);
    this->failPending(source);
}

void SourcedStore::noteFreshness(const ViewSource &source, const ReplyFreshness &freshness)
{
    TimePoint answeredAt = this->scheduler.now();
    if (source.isStore() && this->configurationDueAt)
        answeredAt = std::min(answeredAt, *this->configurationDueAt);
    this->confirmedAt = answeredAt - freshness.age;
    if (this->isFresh())
        this->deadline.onFresh();
    this->startDeadline(Duration::zero());
    if (freshness.registryGrace > Duration::zero())
        this->hooks.onRegistryGrace(freshness.registryGrace);
    if (std::exchange(this->answeredSource, source) == source)
        return;
    this->counters.add("source_selected");
    this->log.info("source_selected",
                   {{"source", source.toString()}, {"age_ms", toMilliseconds(freshness.age)}});
}

bool SourcedStore::isWithinBusyGrace(const ViewSource &source, PlatformResult result)
{
    if (source.isStore() || result != PlatformResult::Busy)
        return false;
    if (!this->isFresh()) {
        if (this->deadline.takeHastyAttempt())
            return false;
        // The grace period starts once an ancestor has lost its source for good.
        if (!this->busySince && source.mustBeNewer && !this->sources.asksStoreWhenStale()
            && this->age() < this->sources.sourceLossGracePeriod())
            return true;
    }
    const TimePoint now = this->scheduler.now();
    if (!this->busySince)
        this->busySince = now;
    return now - *this->busySince < this->sources.busyGracePeriod();
}

void SourcedStore::failPending(const ViewSource &source)
{
    std::list<PendingWatchPtr> failed;
    for (const PendingWatchPtr &watch : this->pending) {
        if (watch->source == source)
            failed.push_back(watch);
    }
    // Abandoned calls must not occupy the capacity for new ones.
    this->clientFor(source).dropWatches();
    for (const PendingWatchPtr &watch : failed) {
        this->pending.remove(watch);
        if (!std::exchange(watch->done, true))
            watch->handler(ViewEvents{});
    }
}

} // namespace bulrushgap::balance
