#include "simulation/StoreModel.h"

#include <utility>

namespace bulrushgap::simulation {

void StoreModel::put(ViewKind kind, const std::string &name, const ViewObject &value)
{
    Objects &known = this->objectsOf(kind);
    const auto found = known.find(name);
    if (found != known.end() && found->second.value == value)
        return;
    const StoreRevision revision{this->currentEra, ++this->current};
    known.insert_or_assign(name, balance::ViewItem{name, revision, value});
    this->record(kind, {name, revision, value});
}

void StoreModel::remove(ViewKind kind, const std::string &name)
{
    if (this->objectsOf(kind).erase(name) == 0)
        return;
    this->record(kind, {name, {this->currentEra, ++this->current}, std::nullopt});
}

std::optional<std::uint64_t> StoreModel::revisionOf(ViewKind kind, const std::string &name) const
{
    const Objects &known = this->objects.at(static_cast<std::size_t>(kind));
    const auto found = known.find(name);
    return found == known.end() ? std::nullopt : std::optional(found->second.version.number);
}

ViewList StoreModel::list(ViewKind kind) const
{
    ViewList list{PlatformResult::Ok, {this->currentEra, this->current}, {}};
    for (const auto &[name, item] : this->objects.at(static_cast<std::size_t>(kind)))
        list.objects.push_back(item);
    return list;
}

void StoreModel::record(ViewKind kind, balance::ViewEvent event)
{
    const TimePoint now = this->scheduler.now();
    this->changes.push_back({now, kind, std::move(event)});
    while (!this->changes.empty() && now - this->changes.front().at > this->history) {
        this->oldest = this->changes.front().event.version.number;
        this->changes.pop_front();
    }
    const auto before = std::exchange(this->waiting, {});
    for (const auto &watch : before) {
        if (watch->kind == kind)
            watch->handler(this->changesSince(kind, watch->since));
        else
            this->waiting.push_back(watch);
    }
}

ViewEvents StoreModel::changesSince(ViewKind kind, std::uint64_t since) const
{
    if (since < this->oldest || since > this->current)
        return {PlatformResult::Gone, 0, {}};
    ViewEvents events{PlatformResult::Ok, {this->currentEra, this->current}, {}};
    for (const Change &change : this->changes) {
        if (change.kind == kind && change.event.version.number > since)
            events.events.push_back(change.event);
    }
    return events;
}

void StoreModel::watch(ViewKind kind, StoreRevision since, Duration wait, EventsHandler handler)
{
    const ViewEvents now = this->changesSince(kind, since.number);
    if (now.result != PlatformResult::Ok || !now.events.empty()) {
        handler(now);
        return;
    }
    const auto watch
        = std::make_shared<Waiting>(Waiting{kind, since.number, std::move(handler), {}});
    watch->timer = this->scheduler.after(wait, [this, weak = std::weak_ptr(watch)] {
        const auto ended = weak.lock();
        if (!ended)
            return;
        this->waiting.remove(ended);
        ended->handler({PlatformResult::Ok, {this->currentEra, this->current}, {}});
    });
    this->waiting.push_back(watch);
}

void StoreModel::forgetHistory()
{
    this->oldest = this->current;
    this->changes.clear();
    for (const auto &watch : std::exchange(this->waiting, {}))
        watch->handler({PlatformResult::Gone, 0, {}});
}

void StoreModel::restore(Copy copy)
{
    ++this->currentEra;
    this->current = copy.revision;
    this->objects = std::move(copy.objects);
    for (Objects &known : this->objects) {
        for (auto &[name, item] : known)
            item.version.era = this->currentEra;
    }
    this->oldest = this->current;
    this->changes.clear();
    this->waiting.clear();
}

} // namespace bulrushgap::simulation
