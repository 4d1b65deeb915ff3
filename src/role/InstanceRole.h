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

/** \brief Process of an instance: engine, sockets, platform client and administration API. */
class InstanceRole
{
public:
    /** \throws boost::system::system_error if an address cannot be bound. */
    InstanceRole(boost::asio::io_context &context, InstanceSettings settings);

    InstanceRole(const InstanceRole &) = delete;
    InstanceRole &operator=(const InstanceRole &) = delete;

    /** \brief Starts the administration API, the registration and the timer. */
    [[nodiscard]] boost::leaf::result<void> start();

    /** \brief Starts a graceful shutdown, which stops the I/O context when it is complete. */
    void beginStop();

private:
    void scheduleTick();
    void onTick();
    void onDatagram(std::span<const std::byte> datagram);
    void onRelay(std::span<const std::byte> datagram);
    void onPlanProgress();
    void checkStopProgress(TimePoint now);
    void addGauges();
    [[nodiscard]] PeerMeshSettings meshSettings() const;
    [[nodiscard]] PeerMeshHooks meshHooks();
    [[nodiscard]] AdminHooks adminHooks();
    [[nodiscard]] SystemStatus systemStatus() const;

    /** \brief Calls the engine by \a function and executes the resulting actions. */
    template <typename Function>
    void callEngine(Function &&function);

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
    DataSocket dataSocket;
    PeerMesh mesh;
    ActionRunner actionRunner;
    ObjectFeed objectFeed;
    InstanceRegistration registration;
    HttpServer adminServer;
    AdminApi adminApi;
    boost::asio::steady_timer tickTimer;
    Actions actions;
    PlanId lastLoggedPlan; //!< Plan in force that was logged last.
    PlanId connectedPlan;  //!< Plan whose instances the mesh connects to.
    std::optional<TimePoint> transitionStart;
    std::optional<TimePoint> stopDeadline;
    bool deregistering = false;
};

} // namespace bulrushgap
