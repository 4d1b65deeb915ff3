#pragma once

#include "base/Ids.h"
#include "plan/Plan.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bulrushgap {

/** \brief Version of the messages between instances; a peer of another version is refused. */
constexpr std::uint16_t peerProtocolVersion = 1;

/** \brief First message on a link. */
struct Hello
{
    std::uint16_t protocolVersion = peerProtocolVersion;
    std::string deployment;
    std::string scope;
    std::string instance;
    std::string domain;
    std::uint64_t bootId = 0;
    std::string peerAddress; //!< Text form of the TCP endpoint that peers dial.
    std::string dataAddress; //!< Text form of the UDP endpoint.

    friend bool operator==(const Hello &, const Hello &) = default;
};

struct FreeSlots
{
    ServiceId service;
    std::uint16_t count = 0;

    friend bool operator==(const FreeSlots &, const FreeSlots &) = default;
};

struct Heartbeat
{
    PlanId inForce;
    PlanId newest;
    bool leaving = false;
    bool platformReachable = false;
    std::vector<FreeSlots> freeSlots;

    friend bool operator==(const Heartbeat &, const Heartbeat &) = default;
};

struct PlanPush
{
    Plan plan;

    friend bool operator==(const PlanPush &, const PlanPush &) = default;
};

/** \brief Asks for the newest plan and, with \a snapshot, for all exceptions. */
struct PlanRequest
{
    PlanId known;
    bool snapshot = false;

    friend bool operator==(const PlanRequest &, const PlanRequest &) = default;
};

/** \brief A flow as instances tell it each other. */
struct FlowRecord
{
    std::uint16_t bucket = 0;      //!< Low 12 bits of the flow hash.
    std::uint64_t fingerprint = 0; //!< The next 40 bits of the flow hash.
    UpstreamId upstream;

    friend constexpr auto operator<=>(const FlowRecord &, const FlowRecord &) = default;
};

struct ServiceFlows
{
    ServiceId service;
    std::vector<FlowRecord> flows;

    friend bool operator==(const ServiceFlows &, const ServiceFlows &) = default;
};

/** \brief Flows known to the sender that the next plan's table would move; for one arbiter. */
struct Digest
{
    PlanId plan;
    std::vector<ServiceFlows> services;

    friend bool operator==(const Digest &, const Digest &) = default;
};

struct InFlightCount
{
    ServiceId service;
    UpstreamId upstream;
    std::uint16_t count = 0;

    friend bool operator==(const InFlightCount &, const InFlightCount &) = default;
};

/** \brief The sender has sent its digests and released what it no longer owns. */
struct Prepared
{
    PlanId plan;
    std::vector<InFlightCount> inFlight; //!< Of upstreams that the sender gave up.

    friend bool operator==(const Prepared &, const Prepared &) = default;
};

/** \brief Complete exceptions of the bucket groups that the sender arbitrates. */
struct Union
{
    PlanId plan;
    std::vector<std::uint8_t> groups; //!< Bucket groups that are complete with this message.
    std::vector<ServiceFlows> services;

    friend bool operator==(const Union &, const Union &) = default;
};

struct InForce
{
    PlanId plan;

    friend bool operator==(const InForce &, const InForce &) = default;
};

/** \brief Health of an upstream as its admission owner sees it; sent to the planner. */
struct UpstreamStatus
{
    ServiceId service;
    UpstreamId upstream;
    bool ejected = false;
    std::uint8_t warmth = fullWeight; //!< Weight that it can bear, 1 to fullWeight.

    friend bool operator==(const UpstreamStatus &, const UpstreamStatus &) = default;
};

/** \brief State for an instance that starts empty: plan in force and all exceptions. */
struct Snapshot
{
    Plan plan;
    std::vector<ServiceFlows> exceptions;

    friend bool operator==(const Snapshot &, const Snapshot &) = default;
};

using PeerMessage = std::variant<Hello, Heartbeat, PlanPush, PlanRequest, Digest, Prepared, Union,
                                 InForce, UpstreamStatus, Snapshot>;

/** \brief A message and the instance that it is for. */
struct OutboundMessage
{
    InstanceId to;
    PeerMessage message;
};

} // namespace bulrushgap
