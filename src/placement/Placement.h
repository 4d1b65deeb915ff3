#pragma once

#include "base/Time.h"
#include "directory/UpstreamDirectory.h"
#include "steering/FlowTracker.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap::balance {

/** \brief What a new flow must avoid if there is a choice. */
struct PlacementLimits
{
    std::span<const UpstreamIndex> tried; //!< Upstreams that did not answer this caller.
    bool avoidTriedDomains = false;       //!< Their failure domains are suspect as a whole.
};

/** \brief Result of a choice, with the inputs that decided it for the log. */
struct PlacementChoice
{
    UpstreamIndex upstream = noUpstream;
    std::size_t candidates = 0;
    std::size_t withoutBudget = 0; //!< Cold upstreams that can't take a flow now.
    std::size_t unreachable = 0;   //!< Upstreams that are proven dead.
    double score = 0.0;
};

/** \brief Chooses the upstream of a new flow.
 *
 * Answers uneven load: long flows can be placed only once, and an instance sees the requests of its
 * own flows. It takes the upstream with the fewest requests and flows per slot, prefers its own
 * failure domain, prefers any upstream that answers to one that does not, and takes none that is
 * proven dead.
 */
class Placement
{
public:
    Placement(UpstreamDirectory &directory, std::string domain, Random &random);

    [[nodiscard]] PlacementChoice choose(std::string_view service, const PlacementLimits &limits,
                                         TimePoint now);

    /** \brief Sets how many instances share the load of a failure domain. */
    void setInstancesPerDomain(unsigned instances) { this->instancesPerDomain = instances; }

private:
    void consider(UpstreamIndex index, const PlacementLimits &limits, TimePoint now,
                  PlacementChoice &choice);
    [[nodiscard]] double scoreOf(const Upstream &upstream, const PlacementLimits &limits,
                                 TimePoint now);
    [[nodiscard]] bool wasTried(UpstreamIndex index, const PlacementLimits &limits) const;
    [[nodiscard]] bool isInTriedDomain(const Upstream &upstream,
                                       const PlacementLimits &limits) const;

    UpstreamDirectory &directory;
    std::string domain;
    Random &random;
    unsigned instancesPerDomain = 1;
};

} // namespace bulrushgap::balance
