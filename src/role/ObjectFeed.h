#pragma once

#include "plan/ObjectStoreView.h"
#include "platform/ObjectWatch.h"

#include <functional>
#include <memory>
#include <vector>

namespace bulrushgap {

/** \brief Feeds the operators' objects into a view while they are wanted.
 *
 * Only the planner and its successor watch, so the number of waiting watches at the platform does
 * not grow with the number of instances.
 */
class ObjectFeed
{
public:
    using OnReachable = std::function<void(bool reachable)>;

    ObjectFeed(boost::asio::io_context &context, PlatformClient &client, Random &random,
               ObjectStoreView &view, OnReachable onReachable);

    /** \brief Starts or ends the watches. */
    void setWanted(bool wanted);

    [[nodiscard]] bool wanted() const { return !this->watches.empty(); }

private:
    void apply(const std::string &prefix, const WatchUpdate &update);

    boost::asio::io_context &context;
    PlatformClient &client;
    Random &random;
    ObjectStoreView &view;
    OnReachable onReachable;
    std::vector<std::unique_ptr<ObjectWatch>> watches;
};

} // namespace bulrushgap
