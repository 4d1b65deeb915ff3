#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "service/Log.h"
#include "view/FreshnessDeadline.h"
#include "view/ObjectSource.h"
#include "view/ViewSources.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace bulrushgap::balance {

struct SourcedStoreHooks
{
    /** \returns a client that reads from another instance. */
    std::function<std::unique_ptr<ObjectSource>(const ViewSource &source)> connectPeer;

    /** Called when this instance can no longer read from the store itself. */
    std::function<void()> onStoreLost;

    /** Called when the source says that entries missing from the registry stay usable. */
    std::function<void(Duration grace)> onRegistryGrace;
};

/** \brief Reads from the store or another instance, as ViewSources selects.
 *
 * While the instance starts, each list is requested from several sources. Otherwise, when a call to
 * a source fails, all watches pending at it fail too. A source that stops responding is thus
 * abandoned as soon as the watch with the shortest wait times out. It is also abandoned when the
 * view passes the limit on its age, whatever the source replies. Neither breaks off an answer that
 * goes on arriving, which may take seconds on a weak link.
 */
class SourcedStore : public ViewStore
{
public:
    SourcedStore(const Scheduler &scheduler, ObjectSource &store, ViewSources &sources,
                 Counters &counters, Log &log, SourcedStoreHooks hooks);

    void list(ViewKind kind, ListHandler handler) override;
    void watch(ViewKind kind, StoreRevision since, WatchHandler handler) override;

    /** \returns whether the store is the source and responds, so others may read from this one. */
    [[nodiscard]] bool isDirect() const { return this->direct && this->sources.followsStore(); }

    /** \returns whether a source responds, or was lost less than the grace period ago. */
    [[nodiscard]] bool isConnected() const;

    /** \returns since when no source responds, or nothing while one does. */
    [[nodiscard]] std::optional<TimePoint> sourceLostAt() const
    {
        return this->verified ? std::nullopt : this->lostAt;
    }

    /** \returns the time since the store confirmed this instance's view. */
    [[nodiscard]] Duration age() const;

    /** \returns whether the store itself has failed since the last call; resets the state. */
    [[nodiscard]] bool takeStoreFailure() { return std::exchange(this->storeFailed, false); }

private:
    struct PendingWatch
    {
        ViewKind kind;
        StoreRevision since;
        WatchHandler handler;
        ViewSource source;
        bool done = false;
    };
    using PendingWatchPtr = std::shared_ptr<PendingWatch>;

    [[nodiscard]] ObjectSource &clientFor(const ViewSource &source);

    /** \returns whether bytes of an incomplete answer of the source have come just now. */
    [[nodiscard]] bool isArriving(const ViewSource &source);

    /** \brief Notes that the store is asked for the configuration, and when its answer is due. */
    void noteConfigurationAsked(const ViewSource &source, ViewKind kind, Duration wait);
    void noteConfigurationAnswered(const ViewSource &source, ViewKind kind);
    [[nodiscard]] bool isWithinBusyGrace(const ViewSource &source, PlatformResult result);
    [[nodiscard]] bool isTooOldForStart(const ReplyFreshness &freshness) const;
    void onResult(const ViewSource &source, PlatformResult result, const ReplyFreshness &freshness);
    void onAnswer(const ViewSource &source, const ReplyFreshness &freshness);
    void listAtStart(ViewKind kind, ListHandler handler);

    /** \brief Lets sources with a current view answer before one with an old view counts. */
    void delayStartList(const ViewSource &source, ViewList outcome, ListHandler onList);
    void onStartList(const ViewSource &source, ViewList outcome, const ListHandler &onList);
    void onStartAnswer(const ViewSource &source, const ReplyFreshness &freshness);
    void noteFreshness(const ViewSource &source, const ReplyFreshness &freshness);
    void send(const PendingWatchPtr &watch, bool probe);

    /** \brief Sends the watches that wait at other sources to this one, which has just answered.
     *
     * A former source may read from this instance itself: if the watch of one kind stays there, and
     * the other instance's comes here, neither learns of a change until one of them times out.
     */
    void moveWatchesTo(const ViewSource &source);
    void endProbe(const ViewSource &source, bool answered);
    [[nodiscard]] std::chrono::milliseconds waitFor(ViewKind kind, const ViewSource &source) const;
    void failPending(const ViewSource &source);

    /** \returns whether a source that was not in use has a view that is worth to be followed. */
    [[nodiscard]] bool isCurrentEnough(const ViewSource &source,
                                       const ReplyFreshness &freshness) const;
    [[nodiscard]] bool isFresh() const { return this->age() <= this->sources.freshnessLimit(); }
    void startDeadline(Duration minDelay);
    void onDeadline();
    void noteSourceLost();

    const Scheduler &scheduler;
    ObjectSource &store;
    ViewSources &sources;
    Counters &counters;
    Log &log;
    SourcedStoreHooks hooks;
    std::map<ViewSource, std::unique_ptr<ObjectSource>> peers;
    std::list<PendingWatchPtr> pending;
    std::list<PendingWatchPtr> deferred; //!< Sent once the probe of their source has succeeded.
    std::set<ViewKind> confirmed; //!< Kinds for which the current source has answered a watch.
    /** First Busy reply of an instance without a source since the last answer or failed call to the
     * store. */
    std::optional<TimePoint> busySince;
    std::optional<ViewSource> probeSource;    //!< Source of the pending or last probe.
    std::set<ViewSource> startSources;        //!< Sources that have answered a list of the start.
    std::optional<ViewSource> answeredSource; //!< Source of the last answer.
    std::vector<Scheduler::Timer> delayedLists;
    std::optional<TimePoint> confirmedAt; //!< When the store confirmed the view.
    /** Until when the store has to answer the pending read of the configuration. Later answers
     * about other kinds don't confirm the view: the configuration may be an old one. */
    std::optional<TimePoint> configurationDueAt;
    std::optional<TimePoint> lostAt; //!< When the current source stopped responding.
    Duration ageAtLoss{};            //!< Age of the view when the source stopped responding.
    TimePoint startedAt;
    FreshnessDeadline deadline;
    Scheduler::Timer deadlineTimer;
    bool probePending = false;
    bool verified = false; //!< The current source has answered since the last failure.
    bool direct = false;
    bool storeFailed = false;
};

} // namespace bulrushgap::balance
