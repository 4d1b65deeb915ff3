#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "service/Log.h"
#include "steering/PacketSteering.h"
#include "view/MemberSweeper.h"
#include "view/ObjectMirror.h"
#include "view/ObjectWatch.h"
#include "view/SourcedStore.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace bulrushgap::balance {

/** \brief What the view of the deployment is applied to. */
struct ViewTargets
{
    UpstreamDirectory &directory;
    RouteTable &routes;
    PacketSteering &steering;
    ViewSources &sources;
    ObjectMirror &mirror;
    MemberSweeper &sweeper;
};

/** \brief Follows registry, configuration, evacuations and instances in the store. */
class ViewFollower
{
public:
    /** \brief Called after the view or its freshness has changed. */
    using ChangeHandler = std::function<void()>;

    ViewFollower(const Scheduler &scheduler, SourcedStore &store, Random &random,
                 ViewTargets targets, Counters &counters, Log &log, ChangeHandler onChange);

    void start();

    /** \brief Reads all entries from \a registry and adds what a watch has missed. */
    void verifyUpstreams(ObjectSource &registry);

    /** \returns whether the store has an up-to-date entry of this instance. */
    [[nodiscard]] bool hasMember(const Member &member) const;

    /** \returns whether registry, configuration and evacuations have been read. */
    [[nodiscard]] bool isComplete() const;

private:
    void onUpstreams(const WatchUpdate &update);
    void onConfiguration(const WatchUpdate &update);
    void onEvacuations(const WatchUpdate &update);
    [[nodiscard]] RegistryChange changeOf(const WatchEvent &event);
    void onMembers(const WatchUpdate &update);
    void onReachable(std::string_view kind, bool reachable);
    void setEvacuated(const std::string &domain, bool evacuated);

    const Scheduler &scheduler;
    SourcedStore &store;
    ViewTargets targets;
    Counters &counters;
    Log &log;
    ChangeHandler onChange;
    ObjectWatch upstreamWatch;
    ObjectWatch configurationWatch;
    ObjectWatch evacuationWatch;
    ObjectWatch memberWatch;
    MemberEntries members;
    std::set<std::string> evacuated;
    std::set<std::string> unreachable;
    TimePoint verificationAt{};
    bool membersKnown = false;
    bool upstreamsKnown = false;
    bool evacuationsKnown = false;
};

} // namespace bulrushgap::balance
