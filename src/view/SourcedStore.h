#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "service/Log.h"
#include "view/ObjectSource.h"
#include "view/ViewSources.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <set>
#include <utility>

namespace bulrushgap::balance {

struct SourcedStoreHooks
{
    /** \returns a client that reads from another instance. */
    std::function<std::unique_ptr<ObjectSource>(Endpoint peer)> connectPeer;

    /** Called when this instance can no longer read from the store itself. */
    std::function<void()> onStoreLost;
};

/** \brief Reads from the store or another instance, as ViewSources selects.
 *
 * When a call to a source fails, all watches pending at it fail too. A source that stops responding
 * is thus abandoned as soon as the watch with the shortest wait times out.
 */
class SourcedStore : public ViewStore
{
public:
    SourcedStore(const Scheduler &scheduler, ObjectSource &store, ViewSources &sources,
                 Counters &counters, Log &log, SourcedStoreHooks hooks);

    void list(ViewKind kind, ListHandler handler) override;
    void watch(ViewKind kind, std::uint64_t since, WatchHandler handler) override;

    /** \returns whether the store is the source and responds, so others may read from this one. */
    [[nodiscard]] bool isDirect() const { return this->direct && this->sources.followsStore(); }

    /** \returns whether the store itself has failed since the last call; resets the state. */
    [[nodiscard]] bool takeStoreFailure() { return std::exchange(this->storeFailed, false); }

private:
    struct PendingWatch
    {
        ViewKind kind;
        WatchHandler handler;
        std::optional<Endpoint> source;
        bool done = false;
    };
    using PendingWatchPtr = std::shared_ptr<PendingWatch>;

    /** \brief A watch that is sent once the pending probe of its source has succeeded. */
    struct DeferredWatch
    {
        PendingWatchPtr watch;
        std::uint64_t since = 0;
    };

    [[nodiscard]] ObjectSource &clientFor(std::optional<Endpoint> source);
    [[nodiscard]] bool isWithinBusyGrace(std::optional<Endpoint> source, PlatformResult result);
    void onResult(std::optional<Endpoint> source, PlatformResult result);
    void send(const PendingWatchPtr &watch, std::uint64_t since, bool probe);
    void endProbe(std::optional<Endpoint> source, bool answered);
    [[nodiscard]] std::chrono::milliseconds waitFor(ViewKind kind,
                                                    std::optional<Endpoint> source) const;
    void failPending(std::optional<Endpoint> source);

    const Scheduler &scheduler;
    ObjectSource &store;
    ViewSources &sources;
    Counters &counters;
    Log &log;
    SourcedStoreHooks hooks;
    std::map<Endpoint, std::unique_ptr<ObjectSource>> peers;
    std::list<PendingWatchPtr> pending;
    std::list<DeferredWatch> deferred;
    std::set<ViewKind> confirmed; //!< Kinds for which the current source has answered a watch.
    /** First Busy reply of the current source, which has no view yet. */
    std::optional<TimePoint> busySince;
    std::optional<Endpoint> probeSource; //!< Source of the pending or last probe.
    bool probePending = false;
    bool verified = false; //!< The current source has answered since the last failure.
    bool direct = false;
    bool storeFailed = false;
};

} // namespace bulrushgap::balance
