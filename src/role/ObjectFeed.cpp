#include "role/ObjectFeed.h"

#include "service/AsioScheduler.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bulrushgap {

namespace internal {

constexpr std::string_view allObjectsPrefix;

} // namespace internal

ObjectFeed::ObjectFeed(boost::asio::io_context &context, PlatformClient &client, Random &random,
                       ObjectStoreView &view, ReachabilityHandler onReachabilityChange)
    : scheduler(asioScheduler(context))
    , client(client)
    , random(random)
    , view(view)
    , onReachabilityChange(std::move(onReachabilityChange))
{}

void ObjectFeed::setActive(bool active)
{
    if (active == this->isActive())
        return;
    this->watch.reset();
    if (!active)
        return;
    this->watch = std::make_unique<ObjectWatch>(
        this->scheduler, this->client, this->random, std::string(internal::allObjectsPrefix),
        [this](const WatchUpdate &update) { this->apply(update); }, this->onReachabilityChange);
    this->watch->start();
}

void ObjectFeed::apply(const WatchUpdate &update)
{
    if (update.complete) {
        std::vector<ListedObject> objects;
        for (const auto &event : update.events) {
            if (event.value)
                objects.push_back({event.key, event.version.number, *event.value});
        }
        this->view.applyList(internal::allObjectsPrefix, update.revision.number, objects);
        return;
    }
    for (const auto &event : update.events)
        this->view.apply(event.key, event.version.number, event.value);
    this->view.advance(internal::allObjectsPrefix, update.revision.number);
}

} // namespace bulrushgap
