#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace bulrushgap::balance {

/** \brief Whether callers may retry the requests of a route. */
enum class RequestKind {
    Idempotent,   //!< May be retried after any failure.
    RunAtMostOnce //!< May be retried only if it certainly has not run.
};

/** \brief Share of a route's new flows that one service takes. */
struct ServiceShare
{
    std::string service;
    unsigned weight = 1;

    friend bool operator==(const ServiceShare &, const ServiceShare &) = default;
};

/** \brief Address that callers connect to and the services behind it. */
struct Route
{
    std::string name;
    Endpoint address;
    std::vector<ServiceShare> services;
    RequestKind kind = RequestKind::Idempotent;
    Duration timeout{};    //!< Callers abandon a request after this time; 0 if not declared.
    Duration objective{};  //!< Time within which an answer should start; 0 if not declared.
    unsigned priority = 0; //!< 0 is the highest.

    friend bool operator==(const Route &, const Route &) = default;
};

/** \brief Properties of a service that placement depends on. */
struct ServiceLimits
{
    std::string name;
    Duration slowStart{};               //!< How long an upstream stays cold after its start.
    double coldRequestsPerSecond = 0.0; //!< Maximum rate to a cold upstream; 0 for no limit.
    unsigned maxConnections = 0;        //!< Maximum number of flows of an upstream; 0 for no limit.

    friend bool operator==(const ServiceLimits &, const ServiceLimits &) = default;
};

/** \brief One accepted version of the operators' configuration. */
struct Configuration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceLimits> services;
    Duration idleTimeout{}; //!< A flow without packets for longer may be discarded.
};

} // namespace bulrushgap::balance
