#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace bulrushgap {

/** \brief Load on one service. */
struct CallerServiceSettings
{
    std::string name;
    Endpoint address;
    std::uint64_t feeds = 0;
    std::uint64_t getsPerSecond = 0;
    std::uint64_t bookingsPerSecond = 0;
};

struct CallerSettings
{
    std::uint32_t localAddress = 0x7f000001; //!< Each feed has its own port of it.
    std::vector<CallerServiceSettings> services;
    std::string bookingPrefix = "b"; //!< Makes booking ids unique over several processes.
    Duration duration = std::chrono::seconds(10);
    Duration deadline = std::chrono::seconds(2); //!< Of each request.
    Duration feedInterval = std::chrono::seconds(1);
    Duration refreshInterval = std::chrono::seconds(5);
    Duration retransmitDelay = std::chrono::milliseconds(250); //!< Doubles each time.
    std::uint64_t seed = 1;

    /** \throws StandinSettingsError */
    [[nodiscard]] static CallerSettings parse(const boost::json::value &value);
};

} // namespace bulrushgap
