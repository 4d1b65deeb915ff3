#pragma once

#include "base/Counters.h"
#include "base/Scheduler.h"
#include "directory/RouteTable.h"
#include "directory/UpstreamDirectory.h"
#include "ejection/EjectionPolicy.h"
#include "service/Log.h"
#include "steering/PacketSteering.h"
#include "view/SourcedStore.h"
#include "view/ViewSources.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Components of an instance whose state appears in its log lines. */
struct BalancerLogContext
{
    const Scheduler &scheduler;
    const UpstreamDirectory &directory;
    const RouteTable &routes;
    const PacketSteering &steering;
    const ViewSources &sources;
    const SourcedStore &sourcedStore;
};

/** \brief Writes the log lines of a Balancer and counts its changes of state; decides nothing. */
class BalancerLog
{
public:
    /** \brief Keeps references to the components of \a context; does not use them before the first
     * line. */
    BalancerLog(BalancerLogContext context, Counters &counters, Log &log);

    /** \brief Logs a decision unless it is the usual one on a packet that starts no request.
     * \param datagram the whole packet, searched for a request id */
    void decision(const SteeringDecision &decision, const FlowPacket &packet,
                  std::span<const std::byte> datagram);

    void flowReset(const FlowPacket &flow, UpstreamIndex upstream);
    void livenessChange(UpstreamIndex upstream, Liveness before, std::string_view evidence);
    void reachabilityChange(const ReachabilityChange &change);
    void capacityChange(UpstreamIndex upstream, double before, double after);
    void ejectionChange(const EjectionChange &change);
    void directoryChange(const DirectoryChange &change);

    /** \param isolated whether neither an upstream nor a source of the view is reached */
    void connectivity(bool isolated);
    void ready();
    void status();
    void stop(Duration delay);

private:
    /** \returns how an upstream is confirmed down. */
    [[nodiscard]] std::string_view proofOf(UpstreamIndex upstream) const;

    /** \returns the age in ms, or -1 if the event never happened. */
    [[nodiscard]] std::int64_t ageOf(TimePoint time) const;

    BalancerLogContext context;
    Counters &counters;
    Log &log;
};

} // namespace bulrushgap::balance
