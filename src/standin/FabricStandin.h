#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"
#include "base/Time.h"
#include "standin/ControlServer.h"
#include "standin/DatagramSocket.h"
#include "standin/InstancePoller.h"
#include "wire/Bytes.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bulrushgap {

/** \brief Shares of datagrams that the fabric treats badly. */
struct FabricFaults
{
    double drop = 0;
    double duplicate = 0;
    double delay = 0;
    Duration delayTime = std::chrono::milliseconds(20);

    [[nodiscard]] static FabricFaults parse(const boost::json::value &value);
};

struct FabricSettings
{
    std::vector<Endpoint> services; //!< Addresses that callers send to.
    Endpoint returnAddress;         //!< Receives what upstreams answer.
    Endpoint egressAddress;         //!< Receives what instances send to callers.
    Endpoint controlAddress;
    std::vector<Endpoint> instances; //!< Used until the platform has answered.
    std::optional<Endpoint> platform;
    std::uint64_t seed = 1;
    FabricFaults faults;

    /** \throws StandinSettingsError */
    [[nodiscard]] static FabricSettings parse(const boost::json::value &value);
};

/** \brief Network between callers, instances and upstreams: any packet may go to any instance. */
class FabricStandin
{
public:
    FabricStandin(boost::asio::io_context &context, const FabricSettings &settings);

    [[nodiscard]] Endpoint serviceAddress(std::size_t index) const;
    [[nodiscard]] Endpoint returnAddress() const { return this->returnSocket.local(); }
    [[nodiscard]] Endpoint egressAddress() const { return this->egressSocket.local(); }
    [[nodiscard]] Endpoint controlAddress() const { return this->control.address(); }

    void setInstances(std::vector<Endpoint> endpoints) { this->instances = std::move(endpoints); }
    void setFaults(const FabricFaults &changed) { this->faults = changed; }
    [[nodiscard]] boost::json::value stats() const;

private:
    void addService(Endpoint address);
    void handleCaller(Endpoint service, Endpoint caller, std::span<const std::byte> message);
    void handleReturn(std::span<const std::byte> datagram);
    void handleEgress(std::span<const std::byte> datagram);
    void spray(Bytes datagram);
    void transmit(DatagramSocket &socket, Endpoint to, Bytes datagram);
    void sendLater(DatagramSocket &socket, Endpoint to, Bytes datagram);
    [[nodiscard]] bool chance(double share);

    boost::asio::io_context &context;
    Random random;
    FabricFaults faults;
    Counters counters;
    std::vector<Endpoint> instances;
    std::map<Endpoint, std::unique_ptr<DatagramSocket>> services;
    std::vector<Endpoint> serviceOrder;
    DatagramSocket returnSocket;
    DatagramSocket egressSocket;
    ControlServer control;
    std::unique_ptr<InstancePoller> poller;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0); //!< Watched by delayed datagrams.
};

/** \brief Runs the stand-in until SIGINT or SIGTERM. \returns the exit code. */
int runFabricStandin(std::span<const std::string> arguments);

} // namespace bulrushgap
