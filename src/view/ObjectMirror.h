#pragma once

#include "base/Scheduler.h"
#include "view/ViewObject.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <vector>

namespace bulrushgap::balance {

/** \brief Serves lists and watches of other instances from this instance's view, like the store.
 *
 * Replies with Busy unless this instance reads from the store itself. Each request calls the
 * DirectCheck, which thereby learns that another instance reads from this one. Replies are cached
 * and shared between requests.
 */
class ObjectMirror
{
public:
    using ListPtr = std::shared_ptr<const ViewList>;
    using EventsPtr = std::shared_ptr<const ViewEvents>;
    using ListResponder = std::function<void(ListPtr list)>;
    using EventsResponder = std::function<void(EventsPtr events)>;

    /** \returns whether this instance reads from the store itself and the store responds. */
    using DirectCheck = std::function<bool()>;

    /** \returns all objects of a kind in this instance's view. */
    using Snapshot = std::function<std::vector<ViewItem>(ViewKind kind)>;

    ObjectMirror(const Scheduler &scheduler, DirectCheck isDirect, Snapshot snapshot);
    ~ObjectMirror() { this->refusePending(); }
    ObjectMirror(const ObjectMirror &) = delete;
    ObjectMirror &operator=(const ObjectMirror &) = delete;

    void list(ViewKind kind, const ListResponder &respond);

    /** \brief Replies at the first change after \a since, or without changes after \a wait. */
    void watch(ViewKind kind, std::uint64_t since, Duration wait, const EventsResponder &respond);

    /** \brief Answers pending watches with an update of \a kind, which the snapshot already has. */
    void apply(ViewKind kind, const ViewUpdate &update);

    /** \brief Replies with Busy to all pending watches, when the store can no longer be read. */
    void refusePending();

private:
    struct Change
    {
        std::uint64_t revision = 0; //!< Store revision of the kind after the change.
        ViewEvent event;
    };

    struct PendingWatch
    {
        std::uint64_t since = 0;
        EventsResponder respond;
        Scheduler::Timer timer;
    };
    using PendingWatchPtr = std::shared_ptr<PendingWatch>;

    struct KindState
    {
        bool loaded = false;
        std::uint64_t revision = 0;
        std::uint64_t historyStart = 0; //!< Changes after this revision are in the history.
        std::deque<Change> history;
        std::list<PendingWatchPtr> pending;
        ListPtr cachedList;     //!< Reply for the current revision, or null.
        EventsPtr cachedEvents; //!< Reply for cachedSince and the current revision, or null.
        std::uint64_t cachedSince = 0;
    };

    [[nodiscard]] KindState &stateOf(ViewKind kind)
    {
        return this->states.at(static_cast<std::size_t>(kind));
    }
    static void appendChange(KindState &state, const ViewEvent &event, std::uint64_t revision);
    void answerPending(KindState &state);
    void onWaitExpired(KindState &state, const PendingWatchPtr &pending);
    [[nodiscard]] static EventsPtr changesSince(KindState &state, std::uint64_t since);

    const Scheduler &scheduler;
    DirectCheck isDirect;
    Snapshot snapshot;
    std::array<KindState, viewKindCount> states;
};

} // namespace bulrushgap::balance
