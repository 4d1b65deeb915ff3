#pragma once

#include "balancer/Balancer.h"
#include "base/Counters.h"
#include "platform/StoreClient.h"
#include "role/ConnectionProber.h"
#include "role/PacketPort.h"
#include "role/PeerViewServer.h"
#include "service/BalancerSettings.h"
#include "service/HttpServer.h"
#include "service/LogPipe.h"
#include "service/Metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>

#include <optional>
#include <string_view>

namespace bulrushgap {

/** \brief Process of an instance on the users' platform: a Balancer with its sockets and timers. */
class BalancerRole
{
public:
    BalancerRole(boost::asio::io_context &context, BalancerSettings settings, LogPipe &pipe);

    /** \brief Opens all sockets. \returns a boost::system::error_code if one cannot be opened. */
    [[nodiscard]] boost::leaf::result<void> start();

    /** \brief Leaves rotation, forwards packets for the stop delay, then stops the I/O context. */
    void beginStop() { this->balancer.beginStop(); }

    /** \brief Applies changed settings; names and addresses change only by a restart. */
    void reload(const BalancerSettings &next);

    /** \brief Logs that the changed settings file was rejected and why. */
    void logReloadFailure(std::string_view reason);

private:
    [[nodiscard]] balance::BalancerHooks hooks();
    void onDatagram(std::span<std::byte> buffer, std::span<std::byte> datagram);
    void forward(const balance::SteeringDecision &decision, std::span<std::byte> buffer,
                 std::span<std::byte> datagram);
    void reset(const balance::FlowPacket &packet);
    [[nodiscard]] HttpReply readiness() const;
    [[nodiscard]] HttpReply renderMetrics() const;

    boost::asio::io_context &context;
    BalancerSettings settings;
    Scheduler scheduler;
    Log log;
    Counters counters;
    Random random;
    Metrics metrics;
    TimeHistogram &handshakeTime;
    TimeHistogram &responseTime;
    platform::StoreClient store;
    ConnectionProber prober;
    balance::Balancer balancer;
    PeerViewServer viewServer;
    PacketPort packetPort;
    HttpServer operationsServer;
    std::optional<TimePoint> batchTime; //!< Clock reading shared by a batch of datagrams.
};

} // namespace bulrushgap
