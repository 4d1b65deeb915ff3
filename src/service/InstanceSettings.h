#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "service/SettingsReader.h"

#include <boost/leaf/result.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

struct InstanceLimits
{
    std::uint32_t queuePerService = 0;
    std::uint32_t flowTableCapacity = 0;
    std::uint32_t controlBytesPerSecond = 0;
};

struct InstanceTimers
{
    Duration heartbeat{};
    Duration peerTimeout{};
    Duration transitionLimit{};
    Duration silenceTimeout{};
    Duration flowIdleTimeout{};
    Duration stopLimit{};
};

/** \brief Settings of the command `bulrushgap instance`. */
struct InstanceSettings
{
    static constexpr std::size_t ticketKeySize = 32; //!< In bytes.

    std::string deployment;
    std::string scope;
    std::string name;
    std::string domain;
    Endpoint dataAddress;
    Endpoint peerAddress;
    Endpoint adminAddress;
    Endpoint platform;
    Endpoint fabricEgress;
    std::vector<Endpoint> seeds; //!< Peers to connect to before a plan is known.
    std::uint64_t hashKey = 0;
    std::array<std::byte, ticketKeySize> ticketKey{};
    std::string logLevel;
    InstanceLimits limits;
    InstanceTimers timers;

    /** \returns a reader that validates these settings. */
    [[nodiscard]] static SettingsReader reader();

    /** \returns the settings, or the error SettingsFaults. */
    [[nodiscard]] static boost::leaf::result<InstanceSettings> parse(std::string_view text);
    [[nodiscard]] static boost::leaf::result<InstanceSettings> load(const std::string &path);
};

} // namespace bulrushgap
