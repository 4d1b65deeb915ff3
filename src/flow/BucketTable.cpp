#include "flow/BucketTable.h"

#include <algorithm>
#include <bit>
#include <cassert>
#include <utility>
#include <vector>

namespace bulrushgap {

namespace internal {

constexpr unsigned logTableBits = 8;
constexpr unsigned logFractionBits = 32;

/** \brief Computes log2(1 + \a fraction / 2^31) in fixed point by repeated squaring. */
constexpr std::uint64_t fixedLog2(std::uint64_t fraction)
{
    constexpr std::uint64_t one = std::uint64_t{1} << 31U;
    std::uint64_t value = one + fraction;
    std::uint64_t result = 0;
    for (unsigned bit = 0; bit < logFractionBits; ++bit) {
        value = (value * value) >> 31U;
        result <<= 1U;
        if (value >= 2 * one) {
            result |= 1U;
            value >>= 1U;
        }
    }
    return result;
}

constexpr auto logTable = [] {
    std::array<std::uint64_t, (1U << logTableBits) + 1> table{};
    for (std::size_t i = 0; i + 1 < table.size(); ++i)
        table.at(i) = fixedLog2(std::uint64_t{i} << (31U - logTableBits));
    table.back() = std::uint64_t{1} << logFractionBits;
    return table;
}();

/** \brief Computes -log2(hash / 2^64) in fixed point.
 *
 * Uses integer arithmetic only: all instances must compute identical tables, and floating-point
 * math libraries differ in the last digit.
 */
std::uint64_t negativeLog2(std::uint64_t hash)
{
    hash |= 1U;
    const auto zeros = static_cast<unsigned>(std::countl_zero(hash));
    const std::uint64_t mantissa = zeros == 63 ? 0 : hash << (zeros + 1);
    const std::size_t index = mantissa >> (64 - logTableBits);
    const std::uint64_t remainder = (mantissa << logTableBits) >> 32U;
    const std::uint64_t low = logTable.at(index);
    const std::uint64_t high = logTable.at(index + 1);
    const std::uint64_t fraction = low + (((high - low) * remainder) >> 32U);
    return (std::uint64_t{zeros + 1} << logFractionBits) - fraction;
}

/** \brief Matches buckets with upstreams by deferred acceptance (Gale-Shapley).
 *
 * Each bucket proposes to its best remaining upstream; an upstream above its bound rejects the
 * buckets with the worst scores.
 */
class BucketMatcher
{
public:
    BucketMatcher(std::vector<const PlanUpstream *> candidates, const KeyedHash &hash,
                  std::uint64_t boundPercent)
        : candidates(std::move(candidates))
        , scores(this->candidates.size() * bucketCount)
        , assigned(this->candidates.size())
        , lastScore(bucketCount, 0)
        , lastCandidate(bucketCount, 0)
    {
        std::uint64_t totalWeight = 0;
        for (const auto *upstream : this->candidates)
            totalWeight += upstream->weight;
        assert(totalWeight > 0);
        for (std::size_t i = 0; i < this->candidates.size(); ++i) {
            const std::uint64_t share = bucketCount * this->candidates[i]->weight * boundPercent;
            this->bounds.push_back((share + totalWeight * 100 - 1)
                                   / std::max<std::uint64_t>(totalWeight * 100, 1));
            for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
                this->scores[bucket * this->candidates.size() + i]
                    = this->score(hash, bucket, *this->candidates[i]);
        }
    }

    std::array<UpstreamId, bucketCount> match()
    {
        std::vector<std::uint16_t> unassigned(bucketCount);
        for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
            unassigned[bucket] = static_cast<std::uint16_t>(bucket);
        while (!unassigned.empty()) {
            for (const std::uint16_t bucket : unassigned)
                this->propose(bucket);
            unassigned.clear();
            this->rejectExcess(unassigned);
        }
        std::array<UpstreamId, bucketCount> result{};
        for (std::size_t i = 0; i < this->assigned.size(); ++i)
            for (const std::uint16_t bucket : this->assigned[i])
                result.at(bucket) = this->candidates[i]->id;
        return result;
    }

private:
    /** \returns the score of the pair; smaller is better, never 0. */
    static std::uint64_t score(const KeyedHash &hash, std::size_t bucket,
                               const PlanUpstream &upstream)
    {
        constexpr unsigned weightPrecisionBits = 20;
        const std::uint64_t scaled = negativeLog2(hash(bucket, upstream.id.value))
                                     << weightPrecisionBits;
        return scaled / upstream.weight + 1;
    }

    [[nodiscard]] std::uint64_t scoreOf(std::uint16_t bucket, std::size_t candidate) const
    {
        return this->scores[bucket * this->candidates.size() + candidate];
    }

    /** \brief Assigns the bucket to the next best upstream after the one that rejected it. */
    void propose(std::uint16_t bucket)
    {
        const std::pair last(this->lastScore[bucket], std::size_t{this->lastCandidate[bucket]});
        std::pair best(~std::uint64_t{0}, this->candidates.size());
        for (std::size_t i = 0; i < this->candidates.size(); ++i) {
            const std::pair next(this->scoreOf(bucket, i), i);
            if (next > last && next < best)
                best = next;
        }
        this->lastScore[bucket] = best.first;
        this->lastCandidate[bucket] = static_cast<std::uint16_t>(best.second);
        this->assigned[best.second].push_back(bucket);
    }

    void rejectExcess(std::vector<std::uint16_t> &rejected)
    {
        for (std::size_t i = 0; i < this->assigned.size(); ++i) {
            auto &buckets = this->assigned[i];
            if (buckets.size() <= this->bounds[i])
                continue;
            const auto bound = buckets.begin() + static_cast<std::ptrdiff_t>(this->bounds[i]);
            std::ranges::nth_element(buckets, bound, {}, [&](std::uint16_t bucket) {
                return std::pair(this->scoreOf(bucket, i), bucket);
            });
            rejected.insert(rejected.end(), bound, buckets.end());
            buckets.erase(bound, buckets.end());
        }
    }

    std::vector<const PlanUpstream *> candidates;
    std::vector<std::uint64_t> scores;
    std::vector<std::uint64_t> bounds;
    std::vector<std::vector<std::uint16_t>> assigned;
    std::vector<std::uint64_t> lastScore;
    std::vector<std::uint16_t> lastCandidate;
};

} // namespace internal

bool receivesNewFlows(const PlanUpstream &upstream, std::span<const PlanDomain> domains)
{
    if (upstream.state != UpstreamState::Active || upstream.weight == 0)
        return false;
    const auto found = std::ranges::lower_bound(domains, upstream.domain, {}, &PlanDomain::id);
    return found == domains.end() || found->id != upstream.domain || !found->out;
}

BucketTable::BucketTable(const PlanService &service, std::span<const PlanDomain> domains,
                         const KeyedHash &hash, std::uint64_t boundPercent)
{
    std::vector<const PlanUpstream *> candidates;
    for (const PlanUpstream &upstream : service.upstreams)
        if (receivesNewFlows(upstream, domains))
            candidates.push_back(&upstream);
    if (candidates.empty())
        this->upstreams.fill(noUpstream);
    else
        this->upstreams
            = internal::BucketMatcher(std::move(candidates), hash, boundPercent).match();
}

} // namespace bulrushgap
