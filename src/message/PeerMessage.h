#pragma once

#include "base/Ids.h"
#include "plan/Plan.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bulrushgap {

/** \brief Protocol version of peer messages; peers with another version are refused. */
constexpr std::uint16_t peerProtocolVersion = 1;

/** \brief First message on a connection between two instances; identifies the sender. */
struct Hello
{
    std::uint16_t protocolVersion = peerProtocolVersion;
    std::string deployment;
    std::string scope;
    std::string instance;
    std::string domain;
    std::uint64_t bootId = 0;
    std::string peerAddress; //!< TCP endpoint that peers connect to, as text.
    std::string dataAddress; //!< UDP endpoint for relayed packets, as text.

    friend bool operator==(const Hello &, const Hello &) = default;
};

/** \brief Free slots for requests at the upstreams of a service that the sender owns. */
struct FreeSlots
{
    ServiceId service;
    std::uint16_t count = 0;

    friend bool operator==(const FreeSlots &, const FreeSlots &) = default;
};

/** \brief Periodic state of the sender. */
struct Heartbeat
{
    PlanId inForce;
    PlanId newest;
    bool leaving = false;
    bool platformReachable = false;
    std::vector<FreeSlots> freeSlots;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

/** \brief Sends a plan to a peer. */
struct PlanPush
{
    Plan plan;

    friend bool operator==(const PlanPush &, const PlanPush &) = default;
};

/** \brief Requests the newest plan and, with \a snapshot, all exceptions. */
struct PlanRequest
{
    PlanId known;
    bool snapshot = false;

    friend bool operator==(const PlanRequest &, const PlanRequest &) = default;
};

/** \brief A flow as exchanged between instances. */
struct FlowRecord
{
    std::uint16_t bucket = 0;      //!< Low 12 bits of the flow hash.
    std::uint64_t fingerprint = 0; //!< The next 40 bits of the flow hash.
    UpstreamId upstream;

    friend constexpr auto operator<=>(const FlowRecord &, const FlowRecord &) = default;
};

/** \brief Flow records of one service. */
struct ServiceFlows
{
    ServiceId service;
    std::vector<FlowRecord> flows;

    friend bool operator==(const ServiceFlows &, const ServiceFlows &) = default;
};

/** \brief Flows recorded by the sender that the bucket tables of the next plan would move.
 *
 * Sent to the arbiter of their bucket groups.
 */
struct Digest
{
    PlanId plan;
    std::vector<ServiceFlows> services;

    friend bool operator==(const Digest &, const Digest &) = default;
};

/** \brief Number of requests in flight at an upstream. */
struct InFlightCount
{
    ServiceId service;
    UpstreamId upstream;
    std::uint16_t count = 0;

    friend bool operator==(const InFlightCount &, const InFlightCount &) = default;
};

/** \brief States that the sender sent its digests and released the upstreams it no longer owns. */
struct Prepared
{
    PlanId plan;
    std::vector<InFlightCount> inFlight; //!< Of upstreams that the sender released.

    friend bool operator==(const Prepared &, const Prepared &) = default;
};

/** \brief All exceptions of bucket groups for which the sender is the arbiter. */
struct Union
{
    PlanId plan;
    std::vector<std::uint8_t> groups; //!< Bucket groups that are complete with this message.
    std::vector<ServiceFlows> services;

    friend bool operator==(const Union &, const Union &) = default;
};

/** \brief States that the plan is in force on the sender. */
struct InForce
{
    PlanId plan;

    friend bool operator==(const InForce &, const InForce &) = default;
};

/** \brief Health of an upstream as observed by its admission owner; sent to the planner. */
struct UpstreamStatus
{
    ServiceId service;
    UpstreamId upstream;
    bool ejected = false;
    std::uint8_t warmth = fullWeight; //!< Weight that it can handle, 1 to fullWeight.

    friend bool operator==(const UpstreamStatus &, const UpstreamStatus &) = default;
};

/** \brief State for an instance that starts without a plan: plan in force and all exceptions. */
struct Snapshot
{
    Plan plan;
    std::vector<ServiceFlows> exceptions;

    friend bool operator==(const Snapshot &, const Snapshot &) = default;
};

using PeerMessage = std::variant<Hello, Heartbeat, PlanPush, PlanRequest, Digest, Prepared, Union,
                                 InForce, UpstreamStatus, Snapshot>;

/** \brief A message and its receiver. */
struct OutboundMessage
{
    InstanceId to;
    PeerMessage message;
};

} // namespace bulrushgap
