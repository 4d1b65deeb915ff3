#include "view/SourcedStore.h"

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

/** Configuration watch at another instance, which also serves as liveness check of that one. */
constexpr milliseconds peerConfigurationWait{700};

/** Time for another instance to start reading from the store after its first request. */
constexpr milliseconds busyGracePeriod{200};

constexpr milliseconds memberWait{15'000};

std::string sourceName(std::optional<Endpoint> source)
{
    return source ? source->toString() : "store";
}

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
{}

ObjectSource &SourcedStore::clientFor(std::optional<Endpoint> source)
{
    if (!source)
        return this->store;
    auto &peer = this->peers[*source];
    if (!peer)
        peer = this->hooks.connectPeer(*source);
    return *peer;
}

void SourcedStore::list(ViewKind kind, ListHandler handler)
{
    this->sources.retryPreferred(this->scheduler.now());
    const auto source = this->sources.current();
    this->clientFor(source).list(kind,
                                 [this, source, handler = std::move(handler)](ViewList outcome) {
                                     this->onResult(source, outcome.result);
                                     handler(std::move(outcome));
                                 });
}

void SourcedStore::watch(ViewKind kind, std::uint64_t since, WatchHandler handler)
{
    this->sources.retryPreferred(this->scheduler.now());
    const auto source = this->sources.current();
    const auto watch
        = std::make_shared<PendingWatch>(PendingWatch{kind, std::move(handler), source});
    this->pending.push_back(watch);
    if (this->probePending && this->probeSource == source) {
        this->deferred.push_back({watch, since});
        return;
    }
    // After a failure, a single watch probes the source before the others are sent.
    this->probePending = !this->verified;
    this->probeSource = source;
    this->send(watch, since, this->probePending);
}

void SourcedStore::send(const PendingWatchPtr &watch, std::uint64_t since, bool probe)
{
    const auto onAnswer = [this, watch, probe](ViewEvents outcome) {
        if (std::exchange(watch->done, true))
            return;
        this->pending.remove(watch);
        if (!probe && outcome.result == PlatformResult::Ok
            && watch->source == this->sources.current())
            this->confirmed.insert(watch->kind);
        this->onResult(watch->source, outcome.result);
        watch->handler(std::move(outcome));
    };
    const auto wait = probe ? internal::probeWait : this->waitFor(watch->kind, watch->source);
    this->clientFor(watch->source).watchFor(watch->kind, since, wait, onAnswer);
}

void SourcedStore::endProbe(std::optional<Endpoint> source, bool answered)
{
    if (!this->probePending || this->probeSource != source)
        return;
    this->probePending = false;
    for (const DeferredWatch &watch : std::exchange(this->deferred, {})) {
        if (watch.watch->done)
            continue;
        if (answered) {
            this->send(watch.watch, watch.since, false);
            continue;
        }
        watch.watch->done = true;
        this->pending.remove(watch.watch);
        watch.watch->handler(ViewEvents{});
    }
}

std::chrono::milliseconds SourcedStore::waitFor(ViewKind kind, std::optional<Endpoint> source) const
{
    if (!this->confirmed.contains(kind))
        return internal::initialWait;
    if (kind == ViewKind::Members)
        return internal::memberWait;
    if (source && kind == ViewKind::Configurations)
        return internal::peerConfigurationWait;
    return internal::defaultWait;
}

void SourcedStore::onResult(std::optional<Endpoint> source, PlatformResult result)
{
    const bool answered = internal::isAnswer(result);
    this->endProbe(source, answered);
    if (source != this->sources.current())
        return;
    if (answered) {
        this->direct = !source;
        this->verified = true;
        this->busySince.reset();
        return;
    }
    if (this->isWithinBusyGrace(source, result))
        return;
    this->busySince.reset();
    this->direct = false;
    this->verified = false;
    this->confirmed.clear();
    this->storeFailed = this->storeFailed || !source;
    this->sources.onSourceFailed(this->scheduler.now());
    this->counters.add("source_failed");
    this->log.warn("source_failed", {{"source", internal::sourceName(source)},
                                     {"result", toString(result)},
                                     {"next", internal::sourceName(this->sources.current())}});
    this->failPending(source);
    if (!source)
        this->hooks.onStoreLost();
}

bool SourcedStore::isWithinBusyGrace(std::optional<Endpoint> source, PlatformResult result)
{
    if (!source || result != PlatformResult::Busy || this->sources.isStarting())
        return false;
    const TimePoint now = this->scheduler.now();
    if (!this->busySince)
        this->busySince = now;
    return now - *this->busySince < internal::busyGracePeriod;
}

void SourcedStore::failPending(std::optional<Endpoint> source)
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
