#include "view/ObjectMirror.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Changes kept for instances that were out of touch; older ones are listed anew. */
constexpr std::size_t mirrorHistory = 256;

constexpr Duration longestMirrorWait = std::chrono::seconds(30);

ObjectMirror::EventsPtr emptyEvents(PlatformResult result, std::uint64_t revision = 0)
{
    return std::make_shared<const ViewEvents>(ViewEvents{result, revision, {}});
}

} // namespace internal

ObjectMirror::ObjectMirror(const Scheduler &scheduler, DirectCheck isDirect, Snapshot snapshot)
    : scheduler(scheduler)
    , isDirect(std::move(isDirect))
    , snapshot(std::move(snapshot))
{}

void ObjectMirror::list(ViewKind kindName, const ListResponder &respond)
{
    Kind &kind = this->at(kindName);
    if (!this->isDirect() || !kind.known) {
        respond(std::make_shared<const ViewList>(ViewList{PlatformResult::Busy, 0, {}}));
        return;
    }
    if (!kind.sharedList) {
        kind.sharedList = std::make_shared<const ViewList>(
            ViewList{PlatformResult::Ok, kind.revision, this->snapshot(kindName)});
    }
    respond(kind.sharedList);
}

void ObjectMirror::watch(ViewKind kindName, std::uint64_t since, Duration wait,
                         const EventsResponder &respond)
{
    Kind &kind = this->at(kindName);
    if (!this->isDirect() || !kind.known) {
        respond(internal::emptyEvents(PlatformResult::Busy));
        return;
    }
    if (since < kind.oldest) {
        respond(internal::emptyEvents(PlatformResult::Gone));
        return;
    }
    if (!kind.history.empty() && kind.history.back().revision > since) {
        respond(changesSince(kind, since));
        return;
    }
    const auto waiting = std::make_shared<Waiting>();
    waiting->since = since;
    waiting->respond = respond;
    kind.waiting.push_back(waiting);
    waiting->timer = this->scheduler.after(std::min(wait, internal::longestMirrorWait),
                                           [this, &kind, watch = std::weak_ptr(waiting)] {
                                               if (const auto ended = watch.lock())
                                                   this->endWait(kind, ended);
                                           });
}

void ObjectMirror::endWait(Kind &kind, const WaitingPtr &waiting)
{
    kind.waiting.remove(waiting);
    const std::uint64_t revision = std::max(kind.revision, waiting->since);
    waiting->respond(internal::emptyEvents(PlatformResult::Ok, revision));
}

ObjectMirror::EventsPtr ObjectMirror::changesSince(Kind &kind, std::uint64_t since)
{
    if (kind.sharedEvents && kind.sharedSince == since)
        return kind.sharedEvents;
    ViewEvents events{PlatformResult::Ok, std::max(kind.revision, since), {}};
    for (const Change &change : kind.history) {
        if (change.revision > since)
            events.events.push_back(change.event);
    }
    kind.sharedEvents = std::make_shared<const ViewEvents>(std::move(events));
    kind.sharedSince = since;
    return kind.sharedEvents;
}

void ObjectMirror::apply(ViewKind kindName, const ViewUpdate &update)
{
    Kind &kind = this->at(kindName);
    kind.sharedEvents.reset();
    kind.sharedList.reset();
    kind.known = true;
    kind.revision = update.revision;
    if (update.complete) {
        // Those who wait with an older revision list anew.
        kind.history.clear();
        kind.oldest = update.revision;
    } else {
        for (const ViewEvent &event : update.events)
            keep(kind, event, update.revision);
    }
    this->answerWaiting(kind);
}

void ObjectMirror::keep(Kind &kind, const ViewEvent &event, std::uint64_t revision)
{
    kind.history.push_back({revision, event});
    while (kind.history.size() > internal::mirrorHistory) {
        kind.oldest = std::max(kind.oldest, kind.history.front().revision);
        kind.history.pop_front();
    }
}

void ObjectMirror::answerWaiting(Kind &kind)
{
    const auto waiting = std::exchange(kind.waiting, {});
    for (const WaitingPtr &watch : waiting) {
        const bool gone = watch->since < kind.oldest;
        const bool changed = !kind.history.empty() && kind.history.back().revision > watch->since;
        if (!gone && !changed) {
            kind.waiting.push_back(watch);
            continue;
        }
        watch->timer.reset();
        watch->respond(gone ? internal::emptyEvents(PlatformResult::Gone)
                            : changesSince(kind, watch->since));
    }
}

void ObjectMirror::refuseWaiting()
{
    for (Kind &kind : this->kinds) {
        for (const WaitingPtr &watch : std::exchange(kind.waiting, {})) {
            watch->timer.reset();
            watch->respond(internal::emptyEvents(PlatformResult::Busy));
        }
    }
}

} // namespace bulrushgap::balance
