#pragma once

#include "base/Scheduler.h"
#include "view/ViewObject.h"
#include "view/ViewRequest.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace bulrushgap::balance {

struct ObjectMirrorHooks
{
    /** \returns whether the reply to a request may be taken from this instance's view. */
    std::function<bool(const ViewRequest &request)> mayServe;

    /** \returns all objects of a kind in this instance's view. */
    std::function<std::vector<ViewItem>(ViewKind kind)> snapshot;

    /** \returns how current the view is. */
    std::function<ReplyFreshness()> freshness;
};

/** \brief Serves lists and watches of other instances from this instance's view, like the store.
 *
 * Replies with Busy if the view may not be served. A list that arrives before the view was read
 * waits for it, so that many instances that start together pass the view on as it arrives. Replies
 * are cached and shared between requests.
 */
class ObjectMirror
{
public:
    using ListPtr = std::shared_ptr<const ViewList>;
    using EventsPtr = std::shared_ptr<const ViewEvents>;
    using ListResponder = std::function<void(ListPtr list)>;
    using EventsResponder = std::function<void(EventsPtr events)>;

    ObjectMirror(const Scheduler &scheduler, ObjectMirrorHooks hooks);
    ~ObjectMirror() { this->refuseAllPending(); }
    ObjectMirror(const ObjectMirror &) = delete;
    ObjectMirror &operator=(const ObjectMirror &) = delete;

    /** \brief Replies with all objects, at once or after at most the wait of the request. */
    void list(const ViewRequest &request, const ListResponder &respond);

    /** \brief Replies at the first change after the request's revision, or after its wait; then
     * with Busy if the view may no longer be served. */
    void watch(const ViewRequest &request, const EventsResponder &respond);

    /** \brief Answers pending requests with an update of \a kind, which the snapshot already has.
     */
    void apply(ViewKind kind, const ViewUpdate &update);

    /** \brief Like apply, with changes that were found by comparison with the view at revision().
     *
     * Readers that were ahead of it, through another source, have to list the objects: they may
     * know one that has come and gone between the two.
     */
    void applyDifference(ViewKind kind, const ViewUpdate &changes);

    /** \returns the revision up to which updates of \a kind have been applied. */
    [[nodiscard]] StoreRevision revision(ViewKind kind) const
    {
        return this->states.at(static_cast<std::size_t>(kind)).revision;
    }

    /** \brief Replies with Busy to pending watches that require a view from the store. */
    void refusePendingDirect();

    /** \brief Replies with Busy to all pending requests. */
    void refuseAllPending();

    /** \returns whether an update of \a kind has been applied. */
    [[nodiscard]] bool isLoaded(ViewKind kind) const
    {
        return this->states.at(static_cast<std::size_t>(kind)).loaded;
    }

    [[nodiscard]] ReplyFreshness freshness() const { return this->hooks.freshness(); }

private:
    struct Change
    {
        StoreRevision revision; //!< Store revision of the kind after the change.
        ViewEvent event;
    };

    /** \brief Changes from \c base to \c revision that say nothing of revisions between the two. */
    struct Difference
    {
        StoreRevision base;
        StoreRevision revision;
    };

    struct PendingWatch
    {
        ViewRequest request;
        StoreRevision since;
        EventsResponder respond;
        Scheduler::Timer timer;
    };
    using PendingWatchPtr = std::shared_ptr<PendingWatch>;

    /** \brief A list that waits until the view has been read. */
    struct PendingList
    {
        ViewRequest request;
        ListResponder respond;
        Scheduler::Timer timer;
    };
    using PendingListPtr = std::shared_ptr<PendingList>;

    struct KindState
    {
        bool loaded = false;
        StoreRevision revision;
        StoreRevision historyStart;          //!< Changes after this revision are in the history.
        std::deque<Change> history;          //!< The last one of each object and era.
        std::vector<Difference> differences; //!< In the history.
        std::list<PendingWatchPtr> pending;
        std::list<PendingListPtr> pendingLists;
        ListPtr cachedList;     //!< Reply for the current revision, or null.
        EventsPtr cachedEvents; //!< Reply for cachedSince and the current revision, or null.
        StoreRevision cachedSince;
    };

    [[nodiscard]] KindState &stateOf(ViewKind kind)
    {
        return this->states.at(static_cast<std::size_t>(kind));
    }
    static void appendChange(KindState &state, const ViewEvent &event, StoreRevision revision);
    void addPendingList(KindState &state, const ViewRequest &request, const ListResponder &respond);
    void answerPendingLists(KindState &state);
    void answerPendingWatches(KindState &state);
    void onWaitExpired(KindState &state, const PendingWatchPtr &pending);

    /** \returns whether the history does not lead from \a since to the current revision. */
    [[nodiscard]] static bool isGone(const KindState &state, StoreRevision since);
    [[nodiscard]] static EventsPtr changesSince(KindState &state, StoreRevision since);

    const Scheduler &scheduler;
    ObjectMirrorHooks hooks;
    std::array<KindState, viewKindCount> states;
};

} // namespace bulrushgap::balance
