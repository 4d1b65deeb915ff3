#include "view/MalformedObjects.h"

#include <utility>

namespace bulrushgap::balance {

void MalformedObjects::report(ViewKind kind, const ViewUpdate &update)
{
    Revisions &revisions = this->reported.at(static_cast<std::size_t>(kind));
    Revisions before;
    if (update.complete)
        before = std::exchange(revisions, {});
    for (const ViewEvent &event : update.events) {
        const auto *malformed = event.value ? std::get_if<MalformedObject>(&*event.value) : nullptr;
        if (malformed == nullptr) {
            revisions.erase(event.key);
            continue;
        }
        const StoreRevision revision = event.version;
        const auto earlier = before.find(event.key);
        const bool known = (earlier != before.end() && earlier->second.contains(revision))
                           || revisions[event.key].contains(revision);
        if (!event.key.empty())
            revisions[event.key].clear();
        revisions[event.key].insert(revision);
        if (!known)
            this->report(kind, event, *malformed);
    }
}

void MalformedObjects::report(ViewKind kind, const ViewEvent &event, const MalformedObject &object)
{
    this->counters.add("object_malformed");
    this->log.warn("object_malformed", {{"kind", toString(kind)},
                                        {"name", event.key},
                                        {"revision", event.version.number},
                                        {"member", object.member},
                                        {"expected", object.expected}});
}

} // namespace bulrushgap::balance
