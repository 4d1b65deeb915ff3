#include "view/ObjectWatch.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

ObjectWatch::ObjectWatch(const Scheduler &scheduler, WatchableStore &store, Random &random,
                         std::string prefix, UpdateHandler onUpdate, ReachableHandler onReachable,
                         WatchRetry retry)
    : scheduler(scheduler)
    , store(store)
    , prefix(std::move(prefix))
    , onUpdate(std::move(onUpdate))
    , onReachable(std::move(onReachable))
    , backoff(retry.first, retry.longest, random)
    , settle(retry.settle)
{}

ObjectWatch::~ObjectWatch()
{
    *this->alive = false;
}

void ObjectWatch::start(std::optional<std::uint64_t> since)
{
    this->revision = since;
    this->poll();
}

void ObjectWatch::list()
{
    this->store.list(this->prefix, [this, alive = this->alive](ListOutcome outcome) {
        if (*alive)
            this->onListed(std::move(outcome));
    });
}

void ObjectWatch::poll()
{
    if (!this->revision) {
        this->list();
        return;
    }
    const auto handler = [this, alive = this->alive](WatchOutcome outcome) {
        if (*alive)
            this->onPolled(std::move(outcome));
    };
    this->store.watch(this->prefix, *this->revision, handler);
}

void ObjectWatch::onListed(ListOutcome outcome)
{
    if (outcome.result != PlatformResult::Ok) {
        this->retryLater();
        return;
    }
    if (outcome.revision < this->newest) {
        // An instance that lags behind has answered: what is known already must not be undone.
        this->retryLater();
        return;
    }
    this->succeeded();
    this->newest = outcome.revision;
    WatchUpdate update{true, outcome.revision, {}};
    for (StoredObject &object : outcome.objects)
        update.events.push_back(
            WatchEvent{std::move(object.key), object.version, std::move(object.value)});
    this->revision = outcome.revision;
    this->poll();
    this->onUpdate(update);
}

void ObjectWatch::onPolled(WatchOutcome outcome)
{
    if (outcome.result == PlatformResult::Gone) {
        this->succeeded();
        this->revision.reset();
        this->poll();
        return;
    }
    if (outcome.result != PlatformResult::Ok) {
        this->retryLater();
        return;
    }
    this->succeeded();
    this->revision = outcome.revision;
    this->newest = std::max(this->newest, outcome.revision);
    this->pollAfter(outcome.events.empty() ? Duration::zero() : this->settle);
    this->onUpdate(WatchUpdate{false, outcome.revision, std::move(outcome.events)});
}

void ObjectWatch::succeeded()
{
    this->backoff.reset();
    if (std::exchange(this->reachable, true) != true && this->onReachable)
        this->onReachable(true);
}

void ObjectWatch::pollAfter(Duration delay)
{
    if (delay == Duration::zero()) {
        this->poll();
        return;
    }
    this->timer = this->scheduler.after(delay, [this] { this->poll(); });
}

void ObjectWatch::retryLater()
{
    this->pollAfter(this->backoff.next());
    if (std::exchange(this->reachable, false) != false && this->onReachable)
        this->onReachable(false);
}

} // namespace bulrushgap
