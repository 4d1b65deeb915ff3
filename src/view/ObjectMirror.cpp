#include "view/ObjectMirror.h"

#include "platform/ObjectCodec.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Changes kept for instances that were out of touch; older ones are listed anew. */
constexpr std::size_t mirrorHistory = 64;

constexpr Duration longestMirrorWait = std::chrono::seconds(30);

} // namespace internal

ObjectMirror::ObjectMirror(const Scheduler &scheduler, DirectCheck isDirect)
    : scheduler(scheduler)
    , isDirect(std::move(isDirect))
{}

const ObjectMirror::Kind *ObjectMirror::servable(std::string_view kind) const
{
    const auto found = this->kinds.find(kind);
    if (!this->isDirect() || found == this->kinds.end() || !found->second.known)
        return nullptr;
    return &found->second;
}

void ObjectMirror::list(std::string_view kindName, const Responder &respond) const
{
    const Kind *kind = this->servable(kindName);
    if (kind == nullptr) {
        respond({});
        return;
    }
    std::string items;
    for (const auto &[name, object] : kind->objects)
        items += (items.empty() ? "" : ",") + object.item;
    respond({PlatformResult::Ok, platform::encodeList(items, kind->revision)});
}

void ObjectMirror::watch(std::string_view kindName, std::uint64_t since, Duration wait,
                         const Responder &respond)
{
    if (this->servable(kindName) == nullptr) {
        respond({});
        return;
    }
    Kind &kind = this->kinds.find(kindName)->second;
    if (since < kind.oldest) {
        respond({PlatformResult::Gone, {}});
        return;
    }
    if (!kind.history.empty() && kind.history.back().revision > since) {
        respond({PlatformResult::Ok, changesSince(kind, since)});
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
    waiting->respond({PlatformResult::Ok, platform::encodeEvents({}, revision)});
}

std::string ObjectMirror::changesSince(const Kind &kind, std::uint64_t since)
{
    std::string events;
    for (const Change &change : kind.history) {
        if (change.revision > since)
            events += (events.empty() ? "" : ",") + change.event;
    }
    return platform::encodeEvents(events, std::max(kind.revision, since));
}

void ObjectMirror::apply(std::string_view kindName, const WatchUpdate &update)
{
    Kind &kind = this->kinds[std::string(kindName)];
    if (update.complete) {
        // Those who wait with an older revision list anew.
        kind.objects.clear();
        kind.history.clear();
        kind.oldest = update.revision;
    }
    kind.known = true;
    kind.revision = update.revision;
    for (const WatchEvent &event : update.events)
        this->keep(kind, event, update.revision);
    if (update.complete)
        kind.history.clear();
    this->answerWaiting(kind);
}

void ObjectMirror::keep(Kind &kind, const WatchEvent &event, std::uint64_t revision)
{
    if (event.value) {
        std::string item = platform::encodeObject(event.key, event.version, *event.value);
        kind.history.push_back({revision, platform::encodeEvent(item, false)});
        kind.objects[event.key] = Object{event.version, std::move(item)};
    } else {
        const std::string item = platform::encodeObject(event.key, event.version, nullptr);
        kind.history.push_back({revision, platform::encodeEvent(item, true)});
        kind.objects.erase(event.key);
    }
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
        if (gone)
            watch->respond({PlatformResult::Gone, {}});
        else
            watch->respond({PlatformResult::Ok, changesSince(kind, watch->since)});
    }
}

void ObjectMirror::refuseWaiting()
{
    for (auto &[name, kind] : this->kinds) {
        for (const WaitingPtr &watch : std::exchange(kind.waiting, {})) {
            watch->timer.reset();
            watch->respond({});
        }
    }
}

} // namespace bulrushgap::balance
