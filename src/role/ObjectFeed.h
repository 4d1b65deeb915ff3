#pragma once

#include "plan/ObjectStoreView.h"
#include "store/ObjectWatch.h"
#include "store/PlatformClient.h"

#include <functional>
#include <memory>

namespace bulrushgap {

/** \brief Feeds the store's objects into a view while they are wanted.
 *
 * One watch covers all kinds of objects: with a watch for each kind, the revision of a quiet kind
 * stayed behind until its long poll ended, and the planner waited up to 20 s for it. Only the
 * planner and its successor watch, so the number of waiting watches at the platform does not grow
 * with the number of instances.
 */
class ObjectFeed
{
public:
    using OnReachable = std::function<void(bool reachable)>;

    ObjectFeed(boost::asio::io_context &context, PlatformClient &client, Random &random,
               ObjectStoreView &view, OnReachable onReachable);

    /** \brief Starts or ends the watches. */
    void setWanted(bool wanted);

    [[nodiscard]] bool wanted() const { return this->watch != nullptr; }

private:
    void apply(const WatchUpdate &update);

    Scheduler scheduler;
    PlatformClient &client;
    Random &random;
    ObjectStoreView &view;
    OnReachable onReachable;
    std::unique_ptr<ObjectWatch> watch;
};

} // namespace bulrushgap
