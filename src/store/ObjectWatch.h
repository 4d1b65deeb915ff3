#pragma once

#include "base/Scheduler.h"
#include "service/Backoff.h"
#include "store/ObjectStore.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace bulrushgap {

/** \brief Changes that a watch reports. */
template <typename Value>
struct BasicWatchUpdate
{
    bool complete = false;  //!< The events contain all existing objects.
    StoreRevision revision; //!< Up to which the events are known.

    /** Empty in an update that only confirms the revision. */
    std::vector<BasicWatchEvent<Value>> events;
};

using WatchUpdate = BasicWatchUpdate<boost::json::value>;

/** \brief Delays between the calls of a watch. */
struct WatchRetry
{
    Duration initialDelay = std::chrono::milliseconds(100);
    Duration maxDelay = std::chrono::seconds(5);

    /** Delay after events, so that the next call returns those that follow in one batch. */
    Duration batchDelay = Duration::zero();
};

/** \brief Watches the objects that a key identifies.
 *
 * Lists them first, unless it starts at a known revision, then polls for events; lists them again
 * when the platform's history no longer includes the revision. Failures are retried with backoff
 * and jitter.
 */
template <typename Key, typename Value>
class BasicObjectWatch
{
public:
    using Store = BasicWatchableStore<Key, Value>;
    using Update = BasicWatchUpdate<Value>;
    using UpdateHandler = std::function<void(const Update &update)>;
    using ReachableHandler = std::function<void(bool reachable)>;

    /** \param onReachable called when calls start to fail or to succeed again; may be empty. */
    BasicObjectWatch(const Scheduler &scheduler, Store &store, Random &random, Key key,
                     UpdateHandler onUpdate, ReachableHandler onReachable = {},
                     WatchRetry retry = {})
        : scheduler(scheduler)
        , store(store)
        , key(key)
        , onUpdate(std::move(onUpdate))
        , onReachable(std::move(onReachable))
        , backoff(retry.initialDelay, retry.maxDelay, random)
        , batchDelay(retry.batchDelay)
    {}
    ~BasicObjectWatch() { *this->alive = false; }
    BasicObjectWatch(const BasicObjectWatch &) = delete;
    BasicObjectWatch &operator=(const BasicObjectWatch &) = delete;

    /** \brief Starts with a list, or with the events after \a since. */
    void start(std::optional<StoreRevision> since = std::nullopt)
    {
        this->revision = since;
        this->poll();
    }

private:
    using OwnedKey = std::conditional_t<std::is_same_v<Key, std::string_view>, std::string, Key>;

    void poll();
    void pollAfter(Duration delay);
    void onListed(BasicListOutcome<Value> outcome);
    void onPolled(BasicWatchOutcome<Value> outcome);
    void onSuccess();
    void setReachable(bool now);
    void retryLater();

    const Scheduler &scheduler;
    Store &store;
    OwnedKey key;
    UpdateHandler onUpdate;
    ReachableHandler onReachable;
    Scheduler::Timer timer;
    Backoff backoff;
    Duration batchDelay;
    std::optional<StoreRevision> revision;
    StoreRevision newestRevision; //!< Highest revision seen; older lists are discarded.
    std::optional<bool> reachable;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); //!< Checked by pending handlers.
};

using ObjectWatch = BasicObjectWatch<std::string_view, boost::json::value>;

template <typename Key, typename Value>
void BasicObjectWatch<Key, Value>::poll()
{
    if (!this->revision) {
        this->store.list(this->key, [this, alive = this->alive](BasicListOutcome<Value> outcome) {
            if (*alive)
                this->onListed(std::move(outcome));
        });
        return;
    }
    this->store.watch(this->key, *this->revision,
                      [this, alive = this->alive](BasicWatchOutcome<Value> outcome) {
                          if (*alive)
                              this->onPolled(std::move(outcome));
                      });
}

template <typename Key, typename Value>
void BasicObjectWatch<Key, Value>::onListed(BasicListOutcome<Value> outcome)
{
    if (outcome.result != PlatformResult::Ok) {
        this->retryLater();
        return;
    }
    if (outcome.revision < this->newestRevision) {
        // The reply comes from a stale source and would revert known changes.
        this->retryLater();
        return;
    }
    this->onSuccess();
    this->newestRevision = outcome.revision;
    Update update{true, outcome.revision, {}};
    update.events.reserve(outcome.objects.size());
    for (auto &object : outcome.objects)
        update.events.push_back({std::move(object.key), object.version, std::move(object.value)});
    this->revision = outcome.revision;
    // The update may change the source of the watch that follows, or end this object.
    const auto stillAlive = this->alive;
    this->onUpdate(update);
    if (*stillAlive)
        this->poll();
}

template <typename Key, typename Value>
void BasicObjectWatch<Key, Value>::onPolled(BasicWatchOutcome<Value> outcome)
{
    if (outcome.result == PlatformResult::Gone) {
        this->onSuccess();
        this->revision.reset();
        this->poll();
        return;
    }
    // An older revision is that of an earlier call, whose answer has arrived twice.
    if (outcome.result != PlatformResult::Ok || outcome.revision < *this->revision) {
        this->retryLater();
        return;
    }
    this->onSuccess();
    if (outcome.revision == *this->revision)
        outcome.events.clear();
    this->revision = outcome.revision;
    this->newestRevision = std::max(this->newestRevision, outcome.revision);
    this->pollAfter(outcome.events.empty() ? Duration::zero() : this->batchDelay);
    this->onUpdate(Update{false, outcome.revision, std::move(outcome.events)});
}

template <typename Key, typename Value>
void BasicObjectWatch<Key, Value>::onSuccess()
{
    this->backoff.reset();
    this->setReachable(true);
}

template <typename Key, typename Value>
void BasicObjectWatch<Key, Value>::setReachable(bool now)
{
    if (std::exchange(this->reachable, now) != now && this->onReachable)
        this->onReachable(now);
}

template <typename Key, typename Value>
void BasicObjectWatch<Key, Value>::pollAfter(Duration delay)
{
    if (delay == Duration::zero())
        this->poll();
    else
        this->timer = this->scheduler.after(delay, [this] { this->poll(); });
}

template <typename Key, typename Value>
void BasicObjectWatch<Key, Value>::retryLater()
{
    this->pollAfter(this->backoff.next());
    this->setReachable(false);
}

} // namespace bulrushgap
