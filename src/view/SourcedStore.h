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
    /** \returns a client of another instance, which answers reads as the store does. */
    std::function<std::unique_ptr<ObjectSource>(Endpoint peer)> connectPeer;

    /** This instance can no longer follow the store itself. */
    std::function<void()> onStoreLost;
};

/** \brief Reads from the store or from another instance, whichever ViewSources names.
 *
 * Answers sources that die or fall silent: when one call fails, all that wait at the same source
 * fail with it, so a silent source is left as soon as the shortest watch notices.
 */
class SourcedStore : public ViewStore
{
public:
    SourcedStore(const Scheduler &scheduler, ObjectSource &store, ViewSources &sources,
                 Counters &counters, Log &log, SourcedStoreHooks hooks);

    void list(ViewKind kind, ListHandler handler) override;
    void watch(ViewKind kind, std::uint64_t since, WatchHandler handler) override;

    /** \returns whether the store itself has answered lately, so that others may follow. */
    [[nodiscard]] bool isDirect() const { return this->direct && this->sources.followsStore(); }

    /** \returns whether the store itself has failed since the last call of this function. */
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

    /** \brief A watch that waits until the probe call at the present source has an answer. */
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
    std::set<ViewKind> confirmed;        //!< Kinds that the present source has answered.
    std::optional<TimePoint> busySince;  //!< The present source answers, but has no view yet.
    std::optional<Endpoint> probeSource; //!< Of the call that shows whether the source answers.
    bool probePending = false;
    bool verified = false; //!< The present source has answered since the last failure.
    bool direct = false;
    bool storeFailed = false;
};

} // namespace bulrushgap::balance
