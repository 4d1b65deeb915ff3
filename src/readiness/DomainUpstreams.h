#pragma once

#include "base/Time.h"
#include "directory/RouteTable.h"
#include "directory/UpstreamDirectory.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace bulrushgap::balance {

/** \brief Where the services of the configuration's routes have upstreams. */
enum class DomainSupply : std::uint8_t {
    Own,         //!< At least one upstream of the own domain may take new flows.
    OwnUnusable, //!< The own domain has upstreams, but all are evacuated, draining or down.
    OthersOnly,  //!< Only other domains have upstreams.
    Nowhere,     //!< No other domain has upstreams, and none of the own may take new flows.
};

/** \brief Summarises the upstreams as seen from one failure domain. */
class DomainUpstreams
{
public:
    DomainUpstreams(const UpstreamDirectory &directory, const RouteTable &routes,
                    std::string domain);

    [[nodiscard]] DomainSupply supply() const;

    /** \returns when an upstream of another domain last answered. */
    [[nodiscard]] TimePoint lastAnswerElsewhere() const;

private:
    using Services = std::set<std::string_view>;

    [[nodiscard]] Services routedServices() const;
    [[nodiscard]] bool hasUsableUpstream(std::string_view service) const;

    const UpstreamDirectory &directory;
    const RouteTable &routes;
    std::string domain;
};

} // namespace bulrushgap::balance
