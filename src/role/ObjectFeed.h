#pragma once

#include "plan/ObjectStoreView.h"
#include "store/ObjectWatch.h"
#include "store/PlatformClient.h"

#include <functional>
#include <memory>

namespace bulrushgap {

/** \brief Watches the store and applies its objects to a view while the feed is active.
 *
 * A single watch covers all kinds of objects. With one watch per kind, the revision of a kind
 * without changes would lag until its long poll ended, and the planner waited up to 20 s for it.
 * Only the planner and its successor watch, so the number of long polls at the platform does not
 * grow with the number of instances.
 */
class ObjectFeed
{
public:
    using ReachabilityHandler = std::function<void(bool reachable)>;

    ObjectFeed(boost::asio::io_context &context, PlatformClient &client, Random &random,
               ObjectStoreView &view, ReachabilityHandler onReachabilityChange);

    /** \brief Starts or stops the watch. */
    void setActive(bool active);

    [[nodiscard]] bool isActive() const { return this->watch != nullptr; }

private:
    void apply(const WatchUpdate &update);

    Scheduler scheduler;
    PlatformClient &client;
    Random &random;
    ObjectStoreView &view;
    ReachabilityHandler onReachabilityChange;
    std::unique_ptr<ObjectWatch> watch;
};

} // namespace bulrushgap
