#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "service/Log.h"
#include "steering/PacketSteering.h"
#include "view/MemberSweeper.h"
#include "view/ObjectMirror.h"
#include "view/SourcedStore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

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

    /** \returns all objects of a kind as the view has them. */
    [[nodiscard]] std::vector<ViewItem> snapshot(ViewKind kind) const;

    /** \returns whether the store has an up-to-date entry of this instance. */
    [[nodiscard]] bool hasMember(const Member &member) const;

    /** \returns whether registry, configuration and evacuations have been read. */
    [[nodiscard]] bool isComplete() const;

private:
    void onUpstreams(const ViewUpdate &update);
    void onConfiguration(const ViewUpdate &update);
    void onEvacuations(const ViewUpdate &update);
    void onMembers(const ViewUpdate &update);
    void onReachable(ViewKind kind, bool reachable);
    void logMalformed(ViewKind kind, const ViewUpdate &update);
    void applyEvacuation(const std::string &domain, bool isEvacuated);

    const Scheduler &scheduler;
    SourcedStore &store;
    ViewTargets targets;
    Counters &counters;
    Log &log;
    ChangeHandler onChange;
    ViewWatch upstreamWatch;
    ViewWatch configurationWatch;
    ViewWatch evacuationWatch;
    ViewWatch memberWatch;
    MemberEntries members;
    std::optional<ViewItem> configuration;          //!< The one in force.
    std::map<std::string, std::uint64_t> evacuated; //!< Domains with the revision of the order.
    TimePoint lastVerificationAt{};
    bool membersKnown = false;
    bool upstreamsKnown = false;
    bool evacuationsKnown = false;
};

} // namespace bulrushgap::balance
