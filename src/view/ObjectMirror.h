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

/** \brief Answers other instances' lists and watches as the store does, from what this one knows.
 *
 * It answers only while this instance follows the store itself; else with Busy, and the hook learns
 * that another instance asks. Answers that many ask for are made once and shared.
 */
class ObjectMirror
{
public:
    using ListPtr = std::shared_ptr<const ViewList>;
    using EventsPtr = std::shared_ptr<const ViewEvents>;
    using ListResponder = std::function<void(ListPtr list)>;
    using EventsResponder = std::function<void(EventsPtr events)>;

    /** \returns whether this instance follows the store itself and it answers. */
    using DirectCheck = std::function<bool()>;

    /** \returns all objects of a kind as this instance knows them. */
    using Snapshot = std::function<std::vector<ViewItem>(ViewKind kind)>;

    ObjectMirror(const Scheduler &scheduler, DirectCheck isDirect, Snapshot snapshot);
    ~ObjectMirror() { this->refusePending(); }
    ObjectMirror(const ObjectMirror &) = delete;
    ObjectMirror &operator=(const ObjectMirror &) = delete;

    void list(ViewKind kind, const ListResponder &respond);

    /** \brief Answers once there is a change after \a since, or after \a wait. */
    void watch(ViewKind kind, std::uint64_t since, Duration wait, const EventsResponder &respond);

    /** \brief Tells those who wait what a watch of \a kind has brought; the snapshot shows it. */
    void apply(ViewKind kind, const ViewUpdate &update);

    /** \brief Answers all pending watches with Busy: the store can't be followed any more. */
    void refusePending();

private:
    struct Change
    {
        std::uint64_t revision = 0; //!< Store revision that the change brought the kind to.
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
        ListPtr cachedList;     //!< Of the present revision, or nothing.
        EventsPtr cachedEvents; //!< Since cachedSince up to the present revision, or nothing.
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
