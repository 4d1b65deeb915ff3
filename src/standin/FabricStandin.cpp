#include "standin/FabricStandin.h"

#include "standin/StandinSettings.h"
#include "wire/ProxyHeader.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

namespace bulrushgap {

FabricFaults FabricFaults::parse(const boost::json::value &value)
{
    const StandinSettings reader(value, "faults");
    FabricFaults faults;
    faults.drop = reader.share("drop");
    faults.duplicate = reader.share("duplicate");
    faults.delay = reader.share("delay");
    faults.delayTime = reader.milliseconds("delayMs", faults.delayTime);
    return faults;
}

FabricSettings FabricSettings::parse(const boost::json::value &value)
{
    const StandinSettings reader(value, "settings");
    FabricSettings settings;
    settings.services = reader.endpoints("services");
    settings.returnAddress = reader.endpoint("returnAddress");
    settings.egressAddress = reader.endpoint("egressAddress");
    settings.controlAddress = reader.endpoint("controlAddress");
    settings.instances = reader.endpoints("instances");
    settings.platform = reader.optionalEndpoint("platform");
    settings.seed = reader.number("seed", settings.seed);
    if (const auto *faults = value.as_object().if_contains("faults"))
        settings.faults = FabricFaults::parse(*faults);
    if (settings.services.empty())
        throw StandinSettingsError("settings.services: at least one address is required");
    return settings;
}

FabricStandin::FabricStandin(boost::asio::io_context &context, const FabricSettings &settings)
    : context(context)
    , random(settings.seed)
    , faults(settings.faults)
    , instances(settings.instances)
    , returnSocket(context, settings.returnAddress,
                   [this](Endpoint, auto datagram) { this->handleReturn(datagram); })
    , egressSocket(context, settings.egressAddress,
                   [this](Endpoint, auto datagram) { this->handleEgress(datagram); })
    , control(context, settings.controlAddress,
              {[this] { return this->stats(); },
               [this](const auto &value) {
                   this->setFaults(FabricFaults::parse(value));
               }})
{
    for (const Endpoint &service : settings.services)
        this->addService(service);
    if (settings.platform)
        this->poller = std::make_unique<InstancePoller>(
            context, *settings.platform,
            [this](std::vector<Endpoint> list) { this->setInstances(std::move(list)); });
}

Endpoint FabricStandin::serviceAddress(std::size_t index) const
{
    return this->serviceOrder.at(index);
}

void FabricStandin::addService(Endpoint address)
{
    // The handler learns the actual port, which differs from the settings if these say 0.
    auto actual = std::make_shared<Endpoint>();
    auto socket = std::make_unique<DatagramSocket>(this->context, address,
                                                   [this, actual](Endpoint caller, auto message) {
                                                       this->handleCaller(*actual, caller, message);
                                                   });
    *actual = socket->local();
    this->serviceOrder.push_back(*actual);
    this->services.emplace(*actual, std::move(socket));
}

void FabricStandin::handleCaller(Endpoint service, Endpoint caller,
                                 std::span<const std::byte> message)
{
    this->counters.add("fromCallers");
    Bytes datagram;
    ProxyHeader{caller, service}.appendTo(datagram);
    datagram.insert(datagram.end(), message.begin(), message.end());
    this->spray(std::move(datagram));
}

void FabricStandin::handleReturn(std::span<const std::byte> datagram)
{
    this->counters.add("fromUpstreams");
    this->spray(Bytes(datagram.begin(), datagram.end()));
}

void FabricStandin::handleEgress(std::span<const std::byte> datagram)
{
    const auto proxied = ProxyHeader::decode(datagram);
    const auto service
        = proxied ? this->services.find(proxied->header.source) : this->services.end();
    if (service == this->services.end())
        return this->counters.add("malformed");
    this->counters.add("toCallers");
    this->transmit(*service->second, proxied->header.destination,
                   Bytes(proxied->payload.begin(), proxied->payload.end()));
}

void FabricStandin::spray(Bytes datagram)
{
    if (this->instances.empty())
        return this->counters.add("noInstance");
    std::uniform_int_distribution<std::size_t> pick(0, this->instances.size() - 1);
    this->transmit(this->returnSocket, this->instances[pick(this->random)], std::move(datagram));
}

void FabricStandin::transmit(DatagramSocket &socket, Endpoint to, Bytes datagram)
{
    if (this->chance(this->faults.drop))
        return this->counters.add("dropped");
    if (this->chance(this->faults.duplicate)) {
        this->counters.add("duplicated");
        socket.send(to, datagram);
    }
    if (this->chance(this->faults.delay))
        return this->sendLater(socket, to, std::move(datagram));
    socket.send(to, datagram);
}

void FabricStandin::sendLater(DatagramSocket &socket, Endpoint to, Bytes datagram)
{
    this->counters.add("delayed");
    auto timer = std::make_shared<boost::asio::steady_timer>(this->context, this->faults.delayTime);
    timer->async_wait([timer, &socket, to, bytes = std::move(datagram),
                       watch = std::weak_ptr<int>(this->lifetime)](const auto &error) {
        if (!error && !watch.expired())
            socket.send(to, bytes);
    });
}

bool FabricStandin::chance(double share)
{
    return share > 0 && std::bernoulli_distribution(share)(this->random);
}

boost::json::value FabricStandin::stats() const
{
    boost::json::object result;
    this->counters.visit([&](std::string_view family, std::string_view label, std::uint64_t value) {
        if (family == "event")
            result[boost::json::string_view(label.data(), label.size())] = value;
    });
    result["instances"] = this->instances.size();
    return result;
}

} // namespace bulrushgap
