#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "directory/UpstreamDirectory.h"
#include "service/Log.h"
#include "store/StoreRevision.h"
#include "view/ViewObject.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace bulrushgap::balance {

/** \brief Detects that the store has returned from an older copy, which begins a new era, and holds
 * evacuations that the copy lacks for the grace period. */
class StoreEraTracker
{
public:
    /** \brief Called when the grace period of held evacuations has ended. */
    using EndHandler = std::function<void(const std::set<std::string> &domains)>;

    StoreEraTracker(const Scheduler &scheduler, UpstreamDirectory &directory, Counters &counters,
                    Log &log, EndHandler onHeldEvacuationsEnded);

    /** \returns the latest known era; 0 if none. */
    [[nodiscard]] std::uint64_t latest() const { return this->era.value_or(0); }

    /** \brief Notes the revision of an update of a kind.
     * \returns whether the update is the first of its kind since the store returned from a copy */
    [[nodiscard]] bool onUpdate(ViewKind kind, StoreRevision revision);

    /** \brief Notes a revision; if its era is new, starts the grace period of the directory. */
    void onRevision(StoreRevision revision);

    /** \brief Holds the evacuation of a domain until the grace period ends. */
    void holdEvacuation(const std::string &domain);

    /** \brief Stops holding the evacuation of a domain without calling the handler.
     * \returns whether it was held */
    [[nodiscard]] bool releaseEvacuation(const std::string &domain);

private:
    void endHeldEvacuations();

    const Scheduler &scheduler;
    UpstreamDirectory &directory;
    Counters &counters;
    Log &log;
    EndHandler onHeldEvacuationsEnded;
    std::optional<std::uint64_t> era;                                 //!< Latest known.
    std::array<std::optional<std::uint64_t>, viewKindCount> kindEras; //!< Of the last updates.
    std::set<std::string> heldEvacuations;
    Scheduler::Timer heldEvacuationsTimer;
};

} // namespace bulrushgap::balance
