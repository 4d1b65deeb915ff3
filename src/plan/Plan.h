#pragma once

#include "base/Endpoint.h"
#include "base/Ids.h"
#include "plan/PlanId.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushgap {

/** \brief Weight of a fully warmed-up upstream. */
constexpr std::uint8_t fullWeight = 16;

enum class UpstreamState : std::uint8_t {
    Active,
    Draining, //!< Existing flows and requests continue; no new ones are assigned.
    Ejected,  //!< Unresponsive; receives no new work except probes.
};

struct PlanDomain
{
    DomainId id;
    std::string name;
    bool out = false; //!< Taken out by an operator: receives no packets.

    friend bool operator==(const PlanDomain &, const PlanDomain &) = default;
};

struct PlanInstance
{
    InstanceId id;
    std::string name;
    DomainId domain;
    Endpoint peerAddress; //!< TCP address for messages between instances.
    Endpoint dataAddress; //!< UDP address for packets from the fabric, upstreams and peers.
    std::uint64_t bootId = 0;
    bool leaving = false; //!< Still relays and answers, but owns nothing.

    friend bool operator==(const PlanInstance &, const PlanInstance &) = default;
};

struct PlanUpstream
{
    UpstreamId id;
    std::string name;
    Endpoint address;
    DomainId domain;
    std::uint8_t weight = fullWeight; //!< 0 to fullWeight; 0 receives no new flows.
    std::uint16_t slots = 1;          //!< Maximum number of concurrent requests when warm.
    UpstreamState state = UpstreamState::Active;

    friend bool operator==(const PlanUpstream &, const PlanUpstream &) = default;
};

struct PlanService
{
    ServiceId id;
    std::string name;
    Endpoint address;
    std::vector<PlanUpstream> upstreams; //!< Sorted by id.

    friend bool operator==(const PlanService &, const PlanService &) = default;
};

/** \brief Versioned input of every placement decision; identical on all instances. */
struct Plan
{
    PlanId id;
    std::uint64_t configVersion = 0; //!< Newest store revision of the included operator objects.
    std::vector<PlanDomain> domains; //!< Sorted by id.
    std::vector<PlanInstance> instances; //!< Sorted by id.
    std::vector<PlanService> services;   //!< Sorted by id.

    friend bool operator==(const Plan &, const Plan &) = default;

    /** \returns the object with the id, or nullptr. */
    [[nodiscard]] const PlanDomain *domain(DomainId id) const;
    [[nodiscard]] const PlanInstance *instance(InstanceId id) const;
    [[nodiscard]] const PlanInstance *instance(std::string_view name) const;
    [[nodiscard]] const PlanService *service(ServiceId id) const;
    [[nodiscard]] const PlanService *serviceAt(Endpoint address) const;
};

/** \returns the upstream of \a service with the id, or nullptr. */
[[nodiscard]] const PlanUpstream *findUpstream(const PlanService &service, UpstreamId id);

} // namespace bulrushgap
