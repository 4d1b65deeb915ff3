#pragma once

#include "base/KeyedHash.h"
#include "flow/FlowHash.h"
#include "plan/Plan.h"

#include <array>
#include <span>

namespace bulrushgap {

/** \brief Maps each bucket of one service to an upstream by bounded weighted rendezvous hashing.
 *
 * No upstream receives more than its share by weight plus a small margin. Buckets and upstreams
 * are paired by stable matching on their scores, so the result does not depend on the processing
 * order and changes little when an upstream is added or removed. With plain rendezvous hashing over
 * 4,096 buckets, 14 upstreams deviate by 6 % from their shares, which would use up most of the
 * permitted imbalance.
 */
class BucketTable
{
public:
    /** \brief Upper bound on the buckets of an upstream, in percent of its share by weight. */
    static constexpr std::uint64_t defaultBoundPercent = 102;

    BucketTable(const PlanService &service, std::span<const PlanDomain> domains,
                const KeyedHash &hash, std::uint64_t boundPercent = defaultBoundPercent);

    /** \returns the upstream assigned to \a bucket, or noUpstream. */
    [[nodiscard]] UpstreamId operator[](std::uint16_t bucket) const
    {
        return this->upstreams[bucket]; // NOLINT(*-constant-array-index)
    }

private:
    std::array<UpstreamId, bucketCount> upstreams;
};

/** \returns whether \a upstream may receive new flows. */
[[nodiscard]] bool receivesNewFlows(const PlanUpstream &upstream,
                                    std::span<const PlanDomain> domains);

} // namespace bulrushgap
