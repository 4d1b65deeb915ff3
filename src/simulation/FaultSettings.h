#pragma once

#include "base/Time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap::simulation {

/** \brief What can go wrong, or is changed on purpose, in a run. */
enum class FaultKind : std::uint8_t {
    InstanceKill,         //!< Instances are killed and start again after \c duration.
    InstanceFreeze,       //!< Instances stand still.
    InstanceStop,         //!< Instances stop gracefully one after the other and start again.
    InstanceIsolated,     //!< Instances are cut off from all but callers.
    InstanceWithoutStore, //!< Instances are cut off from the store.
    AllInstancesLost,     //!< All instances are killed at once.
    UpstreamCrash,        //!< Upstreams die; their machines refuse connections.
    UpstreamDark,         //!< Upstreams lose power.
    UpstreamReborn,       //!< Upstreams crash and start again at once under their names.
    UpstreamSlow,         //!< Upstreams take five times as long.
    UpstreamHang,         //!< Upstreams answer half of their requests only.
    UpstreamReuse,        //!< Upstreams die and their addresses go to another service.
    Release,              //!< Upstreams are replaced one after the other.
    ScaleOut,             //!< Upstreams are added, cold.
    ScaleIn,              //!< Upstreams drain and leave.
    DomainCut,            //!< A domain is partitioned from the others and the store.
    DomainOneWay,         //!< Nothing gets out of a domain but to callers.
    DomainLost,           //!< A domain has no power.
    Loss,                 //!< Links between domains lose a share of packets.
    StoreSilent,          //!< The store takes calls and answers none.
    StoreReset,           //!< The store resets connections.
    StoreBusy,            //!< The store answers that it can't serve.
    StoreLapse,           //!< The store is away and entries of upstreams lapse meanwhile.
    StoreRefuses,         //!< The store turns some instances away.
    StoreSlow,            //!< Answers of the store take fifty times as long.
    StoreLosesAnswers,    //!< Half of the writes are done and not answered.
    StoreForgets,         //!< The store drops its history.
    StoreRestored,        //!< The store returns from a copy of the time when the fault began.
    RouteDropped,         //!< The last class's route is dropped for \c duration.
    RouteMoved,           //!< The last class's route leads to another service for \c duration.
    ConfigurationStorm,   //!< Configurations come in quick succession for \c duration.
    Evacuation,           //!< A domain is to get nothing for \c duration.
    Burst,                //!< Callers send three times as much.
    Count,
};

[[nodiscard]] std::string_view toString(FaultKind kind);

struct PlannedFault
{
    FaultKind kind = FaultKind::InstanceKill;
    Duration at{}; //!< From the start of the traffic.
    Duration duration = std::chrono::seconds(4);
    double share = 0.3;   //!< Of the instances or upstreams that it concerns.
    std::string domain{}; //!< Of a fault of one failure domain; a random one if empty.

    /** \returns a line for people. */
    [[nodiscard]] std::string toString() const;
};

/** \returns the kind with a name, or Count. */
[[nodiscard]] FaultKind faultKindOf(std::string_view name);

} // namespace bulrushgap::simulation
