#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "directory/Configuration.h"
#include "simulation/LinkQueue.h"
#include "simulation/Links.h"

#include <cstddef>
#include <string>
#include <vector>

namespace bulrushgap::simulation {

/** \brief A kind of request, with what its callers expect. */
struct RequestClass
{
    std::string name;
    Endpoint route;
    std::string service;
    balance::RequestKind kind = balance::RequestKind::Idempotent;
    bool keepsFlow = false; //!< Requests follow each other on open flows.
    double perSecond = 0.0; //!< In each failure domain.
    Duration workTime = std::chrono::milliseconds(20);
    std::size_t requestBytes = 0;
    std::size_t answerBytes = 0;
    Duration aim = std::chrono::milliseconds(120);
    Duration deadline = std::chrono::milliseconds(800);
    unsigned retries = 2;
};

struct ServiceSettings
{
    std::string name;
    unsigned upstreamsPerDomain = 4;
    unsigned slots = 2;
    double coldRequestsPerSecond = 0.0; //!< 0: a cold upstream has no limit.
    unsigned connectionLimit = 0;       //!< Load from which on connections are refused; 0: never.
};

/** \brief Instances of each failure domain whose links are alike. */
struct InstanceLinks
{
    unsigned instances = 1;
    LinkCapacity capacity;
};

/** \brief Times that the platform promises or asks for. */
struct RunBounds
{
    Duration inTouch = std::chrono::milliseconds(4'000); //!< Without a disturbance for so long.
    Duration configuration = std::chrono::milliseconds(3'000);
    Duration drain = std::chrono::milliseconds(3'000);
    Duration evacuation = std::chrono::milliseconds(5'000);
    Duration recovery = std::chrono::seconds(12);
    Duration flowStray = std::chrono::milliseconds(2'000);
    Duration flowLifetime = std::chrono::seconds(60);
    double coldOvershoot = 1.5;
    double coldSlack = 5.0;
};

/** \brief A deployment with its load. */
struct RunSettings
{
    std::vector<std::string> domains;
    unsigned instancesPerDomain = 3;
    std::vector<InstanceLinks> instanceLinks; //!< In order; further instances have no limit.
    std::vector<ServiceSettings> services;
    std::vector<RequestClass> classes;
    unsigned idleRoutes = 0; //!< Further routes of the configuration, without traffic.
    LinkDelays delays;
    RunBounds bounds;
    bool steadyHash = false; //!< The fabric moves only the flows of instances that come or go.
    Duration lead = std::chrono::seconds(3);    //!< From the start of the instances to the traffic.
    Duration length = std::chrono::seconds(30); //!< Of the traffic.
    Duration storeHistory = std::chrono::seconds(20);

    /** \returns the link of each instance of a domain; a rate of 0 stands for no limit. */
    [[nodiscard]] std::vector<LinkCapacity> linksOfDomain() const;
};

/** \returns a small deployment like the users': two services, three kinds of request. */
[[nodiscard]] RunSettings sampleRun();

} // namespace bulrushgap::simulation
