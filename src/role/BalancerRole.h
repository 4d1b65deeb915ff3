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

/** \brief The process of one instance on the users' platform: sockets and timers round a Balancer.
 */
class BalancerRole
{
public:
    BalancerRole(boost::asio::io_context &context, BalancerSettings settings, LogPipe &pipe);

    /** \brief Opens all sockets. \returns a boost::system::error_code if one can't be had. */
    [[nodiscard]] boost::leaf::result<void> start();

    /** \brief Leaves rotation, passes packets on for the stop delay, then ends. */
    void beginStop() { this->balancer.beginStop(); }

    /** \brief The settings file has changed; addresses and names need a restart. */
    void reload(const BalancerSettings &next);

    /** \brief The settings file has changed and can't be used; the former settings stay. */
    void reloadRefused(std::string_view reason);

private:
    [[nodiscard]] balance::BalancerHooks hooks();
    void onDatagram(std::span<std::byte> space, std::span<std::byte> datagram);
    void forward(const balance::SteeringDecision &decision, std::span<std::byte> space,
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
    PacketPort port;
    HttpServer server;
    std::optional<TimePoint> batchTime; //!< Read once for a batch of datagrams.
};

} // namespace bulrushgap
