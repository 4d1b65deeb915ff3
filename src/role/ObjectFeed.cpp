#include "role/ObjectFeed.h"

#include "service/AsioScheduler.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushgap {

namespace internal {

constexpr std::string_view allObjects;

} // namespace internal

ObjectFeed::ObjectFeed(boost::asio::io_context &context, PlatformClient &client, Random &random,
                       ObjectStoreView &view, OnReachable onReachable)
    : scheduler(asioScheduler(context))
    , client(client)
    , random(random)
    , view(view)
    , onReachable(std::move(onReachable))
{}

void ObjectFeed::setWanted(bool wanted)
{
    if (wanted == this->wanted())
        return;
    this->watch.reset();
    if (!wanted)
        return;
    this->watch = std::make_unique<ObjectWatch>(
        this->scheduler, this->client, this->random, std::string(internal::allObjects),
        [this](const WatchUpdate &update) { this->apply(update); }, this->onReachable);
    this->watch->start();
}

void ObjectFeed::apply(const WatchUpdate &update)
{
    if (update.complete) {
        std::vector<ListedObject> objects;
        for (const auto &event : update.events) {
            if (event.value)
                objects.push_back({event.key, event.version, *event.value});
        }
        this->view.applyList(internal::allObjects, update.revision, objects);
        return;
    }
    for (const auto &event : update.events)
        this->view.apply(event.key, event.version, event.value);
    this->view.advance(internal::allObjects, update.revision);
}

} // namespace bulrushgap
