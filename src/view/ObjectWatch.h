#pragma once

#include "base/Scheduler.h"
#include "service/Backoff.h"
#include "store/ObjectStore.h"

#include <memory>
#include <optional>
#include <string>

namespace bulrushgap {

/** \brief News of a watch. */
struct WatchUpdate
{
    bool complete = false;          //!< The events are all objects; others do not exist any more.
    std::uint64_t revision = 0;     //!< Store revision up to which the events are known.
    std::vector<WatchEvent> events; //!< Empty in an update that only confirms the revision.
};

/** \brief Delays between attempts while the store does not answer. */
struct WatchRetry
{
    Duration first = std::chrono::milliseconds(100);
    Duration longest = std::chrono::seconds(5);

    /** Pause after an event, so that the next call brings those that follow it together. */
    Duration settle = Duration::zero();
};

/** \brief Follows all objects under a prefix.
 *
 * Lists them first, unless it starts at a known revision, then polls for events; lists them again
 * when the platform's history does not reach back. Failures are retried with backoff and jitter.
 */
class ObjectWatch
{
public:
    using UpdateHandler = std::function<void(const WatchUpdate &update)>;
    using ReachableHandler = std::function<void(bool reachable)>;

    /** \param onReachable called when calls start to fail or to succeed again; may be empty. */
    ObjectWatch(const Scheduler &scheduler, WatchableStore &store, Random &random,
                std::string prefix, UpdateHandler onUpdate, ReachableHandler onReachable = {},
                WatchRetry retry = {});
    ~ObjectWatch();
    ObjectWatch(const ObjectWatch &) = delete;
    ObjectWatch &operator=(const ObjectWatch &) = delete;

    /** \brief Starts with a list, or with the events after \a since. */
    void start(std::optional<std::uint64_t> since = std::nullopt);

private:
    void list();
    void poll();
    void pollAfter(Duration delay);
    void onListed(ListOutcome outcome);
    void onPolled(WatchOutcome outcome);
    void succeeded();
    void retryLater();

    const Scheduler &scheduler;
    WatchableStore &store;
    std::string prefix;
    UpdateHandler onUpdate;
    ReachableHandler onReachable;
    Scheduler::Timer timer;
    Backoff backoff;
    Duration settle;
    std::optional<std::uint64_t> revision;
    std::uint64_t newest = 0; //!< Greatest revision seen; an older list is not taken over.
    std::optional<bool> reachable;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true); //!< Guards pending handlers.
};

} // namespace bulrushgap
