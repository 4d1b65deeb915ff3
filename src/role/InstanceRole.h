#pragma once

#include "admin/AdminApi.h"
#include "engine/InstanceEngine.h"
#include "peer/PeerMesh.h"
#include "role/ActionRunner.h"
#include "role/DataSocket.h"
#include "role/InstanceRegistration.h"
#include "role/ObjectFeed.h"
#include "role/PlanStore.h"
#include "service/HttpServer.h"
#include "service/InstanceSettings.h"
#include "service/Log.h"
#include "service/Metrics.h"
#include "store/PlatformClient.h"
#include "wire/CoapCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace bulrushgap {

/** \brief The process of an instance: engine, sockets, platform client and administration API. */
class InstanceRole
{
public:
    /** \throws boost::system::system_error if an address cannot be bound. */
    InstanceRole(boost::asio::io_context &context, InstanceSettings settings);

    InstanceRole(const InstanceRole &) = delete;
    InstanceRole &operator=(const InstanceRole &) = delete;

    /** \brief Starts timers and servers. */
    [[nodiscard]] boost::leaf::result<void> start();

    /** \brief Starts a graceful shutdown; the I/O context is stopped at its end. */
    void beginStop();

private:
    void scheduleTick();
    void onTick();
    void onDatagram(std::span<const std::byte> datagram);
    void onRelay(std::span<const std::byte> datagram);
    void followPlan();
    void checkStopped(TimePoint now);
    void addGauges();
    [[nodiscard]] PeerMeshSettings meshSettings() const;
    [[nodiscard]] PeerMeshHooks meshHooks();
    [[nodiscard]] AdminHooks adminHooks();
    [[nodiscard]] SystemStatus systemStatus() const;

    /** \brief Calls the engine and carries out what it decides. */
    template <typename Call>
    void engage(Call &&call);

    boost::asio::io_context &context;
    InstanceSettings settings;
    Log log;
    Random random;
    Counters counters;
    Metrics metrics;
    TimeHistogram &transitionTime;
    PlatformClient platform;
    PlanStore planStore;
    InstanceEngine engine;
    CoapCodec codec;
    DataSocket data;
    PeerMesh mesh;
    ActionRunner runner;
    ObjectFeed feed;
    InstanceRegistration registration;
    HttpServer adminServer;
    AdminApi admin;
    boost::asio::steady_timer timer;
    Actions actions;
    PlanId loggedPlan;
    PlanId dialledPlan;
    std::optional<TimePoint> transitionStart;
    std::optional<TimePoint> stopDeadline;
    bool removing = false;
};

} // namespace bulrushgap
