#include "standin/UpstreamHost.h"

#include "standin/StandinSettings.h"

#include <boost/json/object.hpp>

#include <map>

namespace bulrushgap {

UpstreamHost::UpstreamHost(boost::asio::io_context &context, const UpstreamHostSettings &settings)
    : control(context, settings.controlAddress,
              {[this] { return this->stats(); },
               [this](const auto &value) {
                   this->setFaults(UpstreamFaults::parse(value));
               }})
{
    for (const UpstreamSettings &each : settings.upstreams)
        this->upstreams.push_back(
            std::make_unique<UpstreamStandin>(context, each, settings.returnAddress, this->record));
}

void UpstreamHost::setFaults(const UpstreamFaults &faults)
{
    for (const auto &upstream : this->upstreams) {
        if (upstream->name() == faults.upstream)
            return upstream->setFaults(faults);
    }
    throw StandinSettingsError("faults.upstream: no upstream " + faults.upstream);
}

boost::json::value UpstreamHost::stats() const
{
    boost::json::object each;
    std::map<std::string, std::uint64_t> packets;
    for (const auto &upstream : this->upstreams) {
        const auto stats = upstream->stats();
        const auto &service = stats.at("service").as_string();
        packets[{service.data(), service.size()}]
            += stats.at("flowPackets").to_number<std::uint64_t>();
        each[upstream->name()] = stats;
    }
    boost::json::object byService;
    for (const auto &[service, count] : packets)
        byService[service] = count;
    return boost::json::object{{"upstreams", each}, {"flowPacketsByService", byService}};
}

} // namespace bulrushgap
