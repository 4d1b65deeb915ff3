#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "service/SettingsReader.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Settings of the command `bulrushgap balancer`. */
struct BalancerSettings
{
    std::string name;
    std::string domain;
    Endpoint packetAddress;
    Endpoint readyAddress;
    Endpoint peerAddress;
    Endpoint store;
    std::vector<Endpoint> seeds; //!< Peer addresses that are asked for the view at the start.
    std::uint32_t flowCapacity = 0;
    std::uint32_t logLinesPerSecond = 0;
    Duration stopDelay{};
    std::uint32_t linkMbps = 0;
    std::vector<std::string>
        requirements;             //!< What the platform demands; unknown names are ignored.
    bool ejection = false;        //!< Whether new flows avoid upstreams whose requests fail.
    bool learnedCapacity = false; //!< Whether slow upstreams receive fewer flows.
    bool firstStart = false;      //!< Set while the whole deployment starts for the first time.

    /** \returns a reader that validates these settings. */
    [[nodiscard]] static SettingsReader reader();

    /** \returns the settings of a JSON text, or the error SettingsFaults. */
    [[nodiscard]] static boost::leaf::result<BalancerSettings> parse(std::string_view text);

    /** \returns the settings, or the error SettingsFaults. */
    [[nodiscard]] static boost::leaf::result<BalancerSettings> load(const std::string &path);
};

} // namespace bulrushgap
