#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace bulrushgap {

/** \brief One upstream of the stand-in. */
struct UpstreamSettings
{
    std::string name;
    std::string service;
    Endpoint serviceAddress;
    Endpoint address;
    std::uint16_t slots = 2;
    std::uint16_t connections = 2000;
    std::size_t queue = 2; //!< Requests that wait for a slot before it sheds.
    Duration serviceTime = std::chrono::milliseconds(20);
    Duration feedInterval = std::chrono::seconds(1);
    std::uint32_t parts = 1;        //!< Parts of each answer.
    std::uint32_t coldRequests = 0; //!< Requests that it takes to become warm; 0 starts warm.
    std::uint32_t coldFactor = 5;   //!< Service time of a cold upstream over that of a warm one.
    Duration collapseTime = std::chrono::seconds(2); //!< Answers nothing after a collapse.
};

/** \brief State that a fault switches; members that are absent stay as they are. */
struct UpstreamFaults
{
    std::string upstream;
    std::optional<bool> hang;        //!< Answers nothing.
    std::optional<bool> cold;        //!< Turns cold without warning.
    std::optional<bool> drain;       //!< Sheds new work, keeps its flows.
    std::optional<bool> silentFlows; //!< Flows open now go silent, new ones work.

    /** \throws StandinSettingsError */
    [[nodiscard]] static UpstreamFaults parse(const boost::json::value &value);
};

struct UpstreamHostSettings
{
    Endpoint controlAddress;
    Endpoint returnAddress; //!< Of the fabric.
    std::vector<UpstreamSettings> upstreams;

    /** \throws StandinSettingsError */
    [[nodiscard]] static UpstreamHostSettings parse(const boost::json::value &value);
};

} // namespace bulrushgap
