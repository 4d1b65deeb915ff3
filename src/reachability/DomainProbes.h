#pragma once

#include "base/Time.h"
#include "directory/UpstreamDirectory.h"
#include "reachability/DomainReachability.h"

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace bulrushgap::balance {

/** \brief Selects the upstreams whose probes show which failure domains can be reached. */
class DomainProbes
{
public:
    /** One more than are needed beside a suspect upstream to find a domain unreachable: on a lossy
     * link at least one of them usually connects, which rules a partition out. */
    static constexpr std::size_t maxNeighbours = DomainReachability::requiredUpstreams;

    /** Upstreams of one domain, padded with noUpstream. */
    using Selection = std::array<UpstreamIndex, maxNeighbours>;

    /** \param domain failure domain of this instance */
    DomainProbes(const UpstreamDirectory &directory, const DomainReachability &reachability,
                 std::string domain);

    /** \returns the upstream to probe beside \a subject, to check this instance's own connectivity,
     * or noUpstream. For an upstream of another domain it is one of the own domain, so that a
     * partition does not concern both. */
    [[nodiscard]] UpstreamIndex reference(UpstreamIndex subject, TimePoint now);

    /** \returns an upstream outside of the domain of \a subject, or noUpstream. */
    [[nodiscard]] UpstreamIndex outside(UpstreamIndex subject);

    /** \returns upstreams of the domain of \a subject that have not failed a probe yet, one of them
     * of another service if there is one; none if it returned some of this domain less than 100 ms
     * ago. */
    [[nodiscard]] Selection neighbours(UpstreamIndex subject, TimePoint now);

    /** \returns the upstream to probe next in an unreachable domain, or noUpstream if it has none.
     */
    [[nodiscard]] UpstreamIndex next(DomainIndex domain);

private:
    struct DomainState
    {
        TimePoint neighboursAt{};          //!< When neighbours() last returned some.
        UpstreamIndex neighboursStart = 0; //!< Where its next search starts.
        UpstreamIndex lastChecked = 0;     //!< Last upstream that next() returned.
    };

    [[nodiscard]] DomainState &state(DomainIndex domain);
    [[nodiscard]] bool isNeighbour(UpstreamIndex upstream, UpstreamIndex subject) const;
    [[nodiscard]] bool isOfOtherService(UpstreamIndex upstream, UpstreamIndex subject) const;

    /** \brief Adds an upstream to those that answered last. */
    void insert(UpstreamIndex upstream, Selection &best) const;

    /** \brief Searches the upstreams from a changing start for the one that answered last.
     *
     * Ends after some upstreams, unless none of them is suitable. */
    template <typename Predicate>
    [[nodiscard]] UpstreamIndex freshest(Predicate isSuitable);

    [[nodiscard]] bool isUsable(const Upstream &upstream) const;
    [[nodiscard]] bool isFresher(UpstreamIndex upstream, UpstreamIndex than) const;

    const UpstreamDirectory &directory;
    const DomainReachability &reachability;
    std::string domain;
    std::vector<DomainState> states; //!< By DomainIndex.
    UpstreamIndex searchStart = 0;
};

} // namespace bulrushgap::balance
