#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "service/Log.h"
#include "steering/PacketSteering.h"
#include "view/MalformedObjects.h"
#include "view/MemberSweeper.h"
#include "view/ObjectMirror.h"
#include "view/SourcedStore.h"
#include "view/StoreEraTracker.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace bulrushgap::balance {

/** \brief Components that receive changes of the deployment's view. */
struct ViewTargets
{
    UpstreamDirectory &directory;
    RouteTable &routes;
    PacketSteering &steering;
    ViewSources &sources;
    ObjectMirror &mirror;
    MemberSweeper &sweeper;
};

/** \brief Watches upstreams, configuration, evacuations and members, and applies changes. */
class ViewFollower
{
public:
    /** \brief Called after the view or the reachability of a source has changed. */
    using ChangeHandler = std::function<void()>;

    ViewFollower(const Scheduler &scheduler, SourcedStore &store, Random &random,
                 ViewTargets targets, Counters &counters, Log &log, ChangeHandler onChange);

    void start();

    /** \brief Lists all upstreams of \a registry and applies changes that the watch has missed. */
    void verifyUpstreams(ObjectSource &registry);

    /** \returns when the store last confirmed the upstreams of the view, or nothing while they
     * can't be read. */
    [[nodiscard]] std::optional<TimePoint> registryConfirmedAt() const;

    /** \returns all objects of a kind in the view. */
    [[nodiscard]] std::vector<ViewItem> snapshot(ViewKind kind) const;

    /** \returns whether the view has an entry equal to \a member. */
    [[nodiscard]] bool hasMember(const Member &member) const;

    /** \returns the latest era of the store that this instance knows; 0 if none. */
    [[nodiscard]] std::uint64_t storeEra() const { return this->eras.latest(); }

    /** \returns whether registry, configuration and evacuations have been read. */
    [[nodiscard]] bool isComplete() const;

private:
    void onUpstreams(const ViewUpdate &update);

    /** \brief Applies changes of upstreams.
     * \param origin of those of the update's era */
    void applyChanges(const ViewUpdate &update, RegistryOrigin origin);
    void onConfiguration(const ViewUpdate &update);
    void onEvacuations(const ViewUpdate &update);
    void onMembers(const ViewUpdate &update);
    /** \returns the names of all objects of a kind if \a update replaces them, otherwise none. */
    [[nodiscard]] std::set<std::string> namesBefore(const ViewUpdate &update, ViewKind kind) const;

    /** \brief Passes an update on to the instances that read from this one.
     * \param before names of the objects before a complete update */
    void publish(ViewKind kind, std::set<std::string> before, const ViewUpdate &update);
    void onReachable(ViewKind kind, bool reachable);
    void applyVerification(const ViewList &list, TimePoint startedAt);
    void onHeldEvacuationsEnded(const std::set<std::string> &domains);
    void applyEvacuation(const std::string &domain, bool isEvacuated);

    const Scheduler &scheduler;
    SourcedStore &store;
    ViewTargets targets;
    Counters &counters;
    Log &log;
    ChangeHandler onChange;
    MalformedObjects malformedObjects;
    StoreEraTracker eras;
    ViewWatch upstreamWatch;
    ViewWatch configurationWatch;
    ViewWatch evacuationWatch;
    ViewWatch memberWatch;
    MemberEntries members;
    std::optional<ViewItem> configuration;          //!< Configuration in force.
    std::map<std::string, StoreRevision> evacuated; //!< Store revisions of evacuated domains.
    TimePoint lastVerificationAt{};
    bool verificationFailed = false;
    StoreRevision upstreamsRevision; //!< Store revision up to which upstreams are known.
    bool membersKnown = false;
    bool upstreamsKnown = false;
    bool upstreamsReachable = false;
    bool evacuationsKnown = false;
};

} // namespace bulrushgap::balance
