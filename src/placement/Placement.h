#pragma once

#include "base/Time.h"
#include "directory/UpstreamDirectory.h"
#include "placement/PlacementChoice.h"
#include "placement/PlacementExplanation.h"
#include "reachability/DomainReachability.h"

#include <cstddef>
#include <cstdint>
#include <functional>
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

/** \brief Chooses the upstream of a new flow.
 *
 * Balances load although a long flow is placed only once and an instance sees only the requests of
 * its own flows. Chooses the upstream with the lowest score: the requests and flows per slot, plus
 * penalties for another failure domain, a slow start, an ejection, overdue answers and earlier
 * attempts of the caller. Upstreams that are confirmed down, in an unreachable domain or cold
 * without budget are excluded, except that one which is cold only after a time-out remains the last
 * resort. An ejected upstream whose trial is due is preferred.
 */
class Placement
{
public:
    Placement(UpstreamDirectory &directory, const DomainReachability &reachability,
              std::string domain, Random &random);

    /** \brief Chooses an upstream for a new flow; uses its cold-start budget or its trial.
     *  \returns the choice; its upstream is noUpstream if all candidates are excluded. */
    [[nodiscard]] PlacementChoice choose(std::string_view service,
                                         const PlacementConstraints &constraints, TimePoint now);

    /** \returns whether an upstream is known not to be cold, although its state says so. */
    using WarmCheck = std::function<bool(const Upstream &upstream)>;

    /** \returns what choose would do, without random jitter and with all candidates considered. */
    [[nodiscard]] PlacementExplanation explain(std::string_view service,
                                               const PlacementConstraints &constraints,
                                               const WarmCheck &isKnownWarm, TimePoint now) const;

    /** \brief Sets how many instances share the load of a failure domain. */
    void setInstancesPerDomain(unsigned instances) { this->instancesPerDomain = instances; }

    /** \brief Multiplies slots by the learned capacity factor of the upstream. */
    void useLearnedCapacity() { this->usesLearnedCapacity = true; }

private:
    enum class Exclusion : std::uint8_t {
        None,
        ConfirmedDown,
        DomainUnreachable,
        ColdWithoutBudget
    };

    /** \brief Whether an upstream can receive a flow, and its score. */
    struct Assessment
    {
        Exclusion exclusion = Exclusion::None;
        bool withoutBudget = false; //!< Cold, without budget for a flow now.
        double score = 0.0;         //!< Requests per slot and penalties, without jitter.
    };

    void consider(UpstreamIndex index, const PlacementConstraints &constraints, TimePoint now,
                  PlacementChoice &choice);
    [[nodiscard]] Assessment assess(UpstreamIndex index, const Upstream &upstream,
                                    const PlacementConstraints &constraints, TimePoint now) const;
    [[nodiscard]] double scoreOf(const Upstream &upstream, const PlacementConstraints &constraints,
                                 TimePoint now) const;
    [[nodiscard]] double capacityOf(const Upstream &upstream, TimePoint now) const;
    [[nodiscard]] PlacementCandidate describe(const Upstream &upstream, double score,
                                              TimePoint now) const;
    [[nodiscard]] PlacementExclusions ineligible(std::string_view service) const;
    void explainCandidate(UpstreamIndex index, const Upstream &upstream,
                          const PlacementConstraints &constraints, TimePoint now,
                          PlacementExplanation &result) const;
    static void count(const Assessment &assessment, PlacementChoice &choice);
    static void count(const Assessment &assessment, PlacementExclusions &excluded);
    void countAvoided(const Upstream &upstream, TimePoint now, PlacementAvoidance &avoided) const;
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
