#pragma once

#include "base/Time.h"
#include "directory/UpstreamDirectory.h"
#include "reachability/DomainReachability.h"
#include "steering/FlowTracker.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap::balance {

/** \brief What a new flow avoids if there is an alternative. */
struct PlacementConstraints
{
    std::span<const UpstreamIndex> tried; //!< Upstreams that did not answer this caller.
    bool avoidTriedDomains = false;       //!< Avoid their failure domains as well.
    bool idempotent = true;               //!< The caller may retry its requests.
};

/** \brief Chosen upstream, with the inputs of the decision for the log. */
struct PlacementChoice
{
    UpstreamIndex upstream = noUpstream;
    std::size_t candidates = 0;
    std::size_t withoutBudget = 0; //!< Cold upstreams without budget for a flow now.
    std::size_t unreachable = 0;   //!< Upstreams confirmed down or in unreachable domains.
    double score = 0.0;
    bool isTrial = false; //!< The upstream is ejected and receives the flow to test it.
};

/** \brief Chooses the upstream of a new flow.
 *
 * Balances load although a long flow is placed only once and an instance sees only the requests of
 * its own flows. Chooses the upstream with the fewest requests and flows per slot, prefers the own
 * failure domain, prefers any upstream that answers to one that does not, and excludes those that
 * are confirmed down or in an unreachable domain.
 */
class Placement
{
public:
    Placement(UpstreamDirectory &directory, const DomainReachability &reachability,
              std::string domain, Random &random);

    [[nodiscard]] PlacementChoice choose(std::string_view service,
                                         const PlacementConstraints &constraints, TimePoint now);

    /** \brief Sets how many instances share the load of a failure domain. */
    void setInstancesPerDomain(unsigned instances) { this->instancesPerDomain = instances; }

    /** \brief Weighs slots by what was learned of an upstream's speed. */
    void useLearnedCapacity() { this->usesLearnedCapacity = true; }

private:
    void consider(UpstreamIndex index, const PlacementConstraints &constraints, TimePoint now,
                  PlacementChoice &choice);
    [[nodiscard]] double scoreOf(const Upstream &upstream, const PlacementConstraints &constraints,
                                 TimePoint now);
    [[nodiscard]] bool wasTried(UpstreamIndex index, const PlacementConstraints &constraints) const;
    [[nodiscard]] bool isInTriedDomain(const Upstream &upstream,
                                       const PlacementConstraints &constraints) const;

    UpstreamDirectory &directory;
    const DomainReachability &reachability;
    std::string domain;
    Random &random;
    unsigned instancesPerDomain = 1;
    bool usesLearnedCapacity = false;
};

} // namespace bulrushgap::balance
