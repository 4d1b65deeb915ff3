#pragma once

#include "base/Endpoint.h"
#include "standin/ControlServer.h"
#include "standin/RunRecord.h"
#include "standin/UpstreamSettings.h"
#include "standin/UpstreamStandin.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <span>
#include <string>
#include <vector>

namespace bulrushgap {

/** \brief All upstreams of one process, with one control address. */
class UpstreamHost
{
public:
    UpstreamHost(boost::asio::io_context &context, const UpstreamHostSettings &settings);

    [[nodiscard]] Endpoint controlAddress() const { return this->control.address(); }
    [[nodiscard]] UpstreamStandin &upstream(std::size_t index)
    {
        return *this->upstreams.at(index);
    }
    [[nodiscard]] const RunRecord &runs() const { return this->record; }

    /** \throws StandinSettingsError if there is no upstream of that name. */
    void setFaults(const UpstreamFaults &faults);

    /** \returns counts per upstream and flow packets per service. */
    [[nodiscard]] boost::json::value stats() const;

private:
    RunRecord record;
    std::vector<std::unique_ptr<UpstreamStandin>> upstreams;
    ControlServer control;
};

/** \brief Runs the stand-in until SIGINT or SIGTERM. \returns the exit code. */
int runUpstreamStandin(std::span<const std::string> arguments);

} // namespace bulrushgap
