#include "role/ObjectFeed.h"

#include <array>
#include <string>
#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::array watchedPrefixes{"service/", "upstream/", "domain/"};

} // namespace internal

ObjectFeed::ObjectFeed(boost::asio::io_context &context, PlatformClient &client, Random &random,
                       ObjectStoreView &view, OnReachable onReachable)
    : context(context)
    , client(client)
    , random(random)
    , view(view)
    , onReachable(std::move(onReachable))
{}

void ObjectFeed::setWanted(bool wanted)
{
    if (wanted == this->wanted())
        return;
    this->watches.clear();
    if (!wanted)
        return;
    for (const std::string prefix : internal::watchedPrefixes) {
        this->watches.push_back(std::make_unique<ObjectWatch>(
            this->context, this->client, this->random, prefix,
            [this, prefix](const WatchUpdate &update) { this->apply(prefix, update); },
            this->onReachable));
        this->watches.back()->start();
    }
}

void ObjectFeed::apply(const std::string &prefix, const WatchUpdate &update)
{
    if (update.complete) {
        std::vector<ListedObject> objects;
        for (const auto &event : update.events) {
            if (event.value)
                objects.push_back({event.key, event.version, *event.value});
        }
        this->view.applyList(prefix, update.revision, objects);
        return;
    }
    for (const auto &event : update.events)
        this->view.apply(event.key, event.version, event.value);
    this->view.advance(prefix, update.revision);
}

} // namespace bulrushgap
