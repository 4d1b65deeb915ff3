#include "view/ObjectMirror.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Changes kept per kind; instances that have missed more than these list the objects again. */
constexpr std::size_t maxMirrorHistory = 256;

constexpr Duration maxMirrorWait = std::chrono::seconds(30);

ObjectMirror::EventsPtr emptyEvents(PlatformResult result, StoreRevision revision = {})
{
    return std::make_shared<const ViewEvents>(ViewEvents{result, revision, {}, {}});
}

ObjectMirror::ListPtr busyList()
{
    return std::make_shared<const ViewList>(ViewList{PlatformResult::Busy, 0, {}, {}});
}

} // namespace internal

ObjectMirror::ObjectMirror(const Scheduler &scheduler, ObjectMirrorHooks hooks)
    : scheduler(scheduler)
    , hooks(std::move(hooks))
{}

void ObjectMirror::list(const ViewRequest &request, const ListResponder &respond)
{
    KindState &state = this->stateOf(request.kind);
    if (!state.loaded && !request.direct && request.wait > Duration::zero()) {
        this->addPendingList(state, request, respond);
        return;
    }
    if (!this->hooks.mayServe(request) || !state.loaded) {
        respond(internal::busyList());
        return;
    }
    if (!state.cachedList) {
        state.cachedList = std::make_shared<const ViewList>(
            ViewList{PlatformResult::Ok, state.revision, this->hooks.snapshot(request.kind), {}});
    }
    respond(state.cachedList);
}

void ObjectMirror::addPendingList(KindState &state, const ViewRequest &request,
                                  const ListResponder &respond)
{
    const auto pending = std::make_shared<PendingList>(PendingList{request, respond, {}});
    state.pendingLists.push_back(pending);
    pending->timer = this->scheduler.after(request.wait, [&state, list = std::weak_ptr(pending)] {
        const auto expired = list.lock();
        if (!expired)
            return;
        state.pendingLists.remove(expired);
        expired->respond(internal::busyList());
    });
}

void ObjectMirror::answerPendingLists(KindState &state)
{
    for (const PendingListPtr &list : std::exchange(state.pendingLists, {})) {
        list->timer.reset();
        this->list(list->request, list->respond);
    }
}

void ObjectMirror::watch(const ViewRequest &request, const EventsResponder &respond)
{
    KindState &state = this->stateOf(request.kind);
    const StoreRevision since = request.since.value_or(StoreRevision{});
    if (!this->hooks.mayServe(request) || !state.loaded) {
        respond(internal::emptyEvents(PlatformResult::Busy));
        return;
    }
    if (isGone(state, since)) {
        respond(internal::emptyEvents(PlatformResult::Gone));
        return;
    }
    if (!state.history.empty() && state.history.back().revision > since) {
        respond(changesSince(state, since));
        return;
    }
    const auto pending = std::make_shared<PendingWatch>();
    pending->since = since;
    pending->request = request;
    pending->respond = respond;
    state.pending.push_back(pending);
    pending->timer
        = this->scheduler.after(std::min<Duration>(request.wait, internal::maxMirrorWait),
                                [this, &state, watch = std::weak_ptr(pending)] {
                                    if (const auto ended = watch.lock())
                                        this->onWaitExpired(state, ended);
                                });
}

void ObjectMirror::onWaitExpired(KindState &state, const PendingWatchPtr &pending)
{
    state.pending.remove(pending);
    if (!this->hooks.mayServe(pending->request)) {
        pending->respond(internal::emptyEvents(PlatformResult::Busy));
        return;
    }
    const StoreRevision revision = std::max(state.revision, pending->since);
    pending->respond(internal::emptyEvents(PlatformResult::Ok, revision));
}

ObjectMirror::EventsPtr ObjectMirror::changesSince(KindState &state, StoreRevision since)
{
    if (state.cachedEvents && state.cachedSince == since)
        return state.cachedEvents;
    ViewEvents events{PlatformResult::Ok, std::max(state.revision, since), {}, {}};
    for (const Change &change : state.history) {
        if (change.revision > since)
            events.events.push_back(change.event);
    }
    state.cachedEvents = std::make_shared<const ViewEvents>(std::move(events));
    state.cachedSince = since;
    return state.cachedEvents;
}

void ObjectMirror::apply(ViewKind kind, const ViewUpdate &update)
{
    KindState &state = this->stateOf(kind);
    state.cachedEvents.reset();
    state.cachedList.reset();
    state.loaded = true;
    state.revision = update.revision;
    if (update.complete) {
        // Pending watches from an older revision have to list again.
        state.history.clear();
        state.differences.clear();
        state.historyStart = update.revision;
    } else {
        for (const ViewEvent &event : update.events)
            appendChange(state, event, update.revision);
    }
    this->answerPendingLists(state);
    this->answerPendingWatches(state);
}

void ObjectMirror::applyDifference(ViewKind kind, const ViewUpdate &changes)
{
    KindState &state = this->stateOf(kind);
    std::erase_if(state.differences, [&](const Difference &difference) {
        return difference.revision <= state.historyStart;
    });
    state.differences.push_back({state.revision, changes.revision});
    this->apply(kind, changes);
}

bool ObjectMirror::isGone(const KindState &state, StoreRevision since)
{
    return since < state.historyStart
           || std::ranges::any_of(state.differences, [since](const Difference &difference) {
                  return difference.base < since && since < difference.revision;
              });
}

void ObjectMirror::appendChange(KindState &state, const ViewEvent &event, StoreRevision revision)
{
    // Readers need the last change of an object only; many versions of a large one would fill links
    // and memory. One of an earlier era may tell more than the copy with which the next one began.
    std::erase_if(state.history, [&event](const Change &earlier) {
        return earlier.event.key == event.key && earlier.event.version.era == event.version.era;
    });
    state.history.push_back({revision, event});
    while (state.history.size() > internal::maxMirrorHistory) {
        state.historyStart = std::max(state.historyStart, state.history.front().revision);
        state.history.pop_front();
    }
}

void ObjectMirror::answerPendingWatches(KindState &state)
{
    const auto pending = std::exchange(state.pending, {});
    for (const PendingWatchPtr &watch : pending) {
        const bool gone = isGone(state, watch->since);
        const bool changed = !state.history.empty() && state.history.back().revision > watch->since;
        if (!gone && !changed) {
            state.pending.push_back(watch);
            continue;
        }
        watch->timer.reset();
        watch->respond(gone ? internal::emptyEvents(PlatformResult::Gone)
                            : changesSince(state, watch->since));
    }
}

void ObjectMirror::refusePendingDirect()
{
    for (KindState &state : this->states) {
        for (const PendingWatchPtr &watch : std::exchange(state.pending, {})) {
            if (!watch->request.direct) {
                state.pending.push_back(watch);
                continue;
            }
            watch->timer.reset();
            watch->respond(internal::emptyEvents(PlatformResult::Busy));
        }
    }
}

void ObjectMirror::refuseAllPending()
{
    for (KindState &state : this->states) {
        for (const PendingListPtr &list : std::exchange(state.pendingLists, {})) {
            list->timer.reset();
            list->respond(internal::busyList());
        }
        for (const PendingWatchPtr &watch : std::exchange(state.pending, {})) {
            watch->timer.reset();
            watch->respond(internal::emptyEvents(PlatformResult::Busy));
        }
    }
}

} // namespace bulrushgap::balance
