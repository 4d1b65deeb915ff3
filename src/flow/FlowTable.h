#pragma once

#include "base/Time.h"
#include "flow/BucketTable.h"
#include "flow/FlowHash.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace bulrushgap {

/** \brief Coarse clock of flow ages; wraps around. */
using FlowAge = std::uint8_t;

/** \brief Idle limits of flows in units of the coarse clock. */
struct FlowIdleLimits
{
    FlowAge ordinary = 24;
    FlowAge exception = 192; //!< Longer: a forgotten exception would move to another upstream.
};

/** \brief Flows of one service: 8 bytes each (fingerprint 40 bits, upstream 16, age 8).
 *
 * Flows are stored in short runs, one or more per bucket, so that a position gives the bucket and
 * all flows of a bucket are found without a search. An entry is an exception if its upstream
 * differs from the bucket table's.
 */
class FlowTable
{
public:
    /** \returns the upstream of a known flow, whose age is reset. */
    std::optional<UpstreamId> find(std::uint64_t flowHash, FlowAge now)
    {
        std::uint64_t *entry = this->locate(flowHash);
        if (entry == nullptr)
            return std::nullopt;
        *entry = (*entry & ~ageMask) | now;
        return upstreamOf(*entry);
    }

    /** \brief Adds a flow or replaces its upstream. */
    void insert(std::uint64_t flowHash, UpstreamId upstream, FlowAge now);

    /** \returns whether the flow was known. */
    bool erase(std::uint64_t flowHash);

    [[nodiscard]] bool isException(std::uint64_t flowHash, const BucketTable &table) const;

    /** \brief Removes the oldest ordinary flow near \a bucket, or an exception if none is found.
     * \returns whether a flow was removed.
     */
    bool evictNear(std::uint16_t bucket, const BucketTable &table, FlowAge now);

    /** \brief Removes idle flows from the next \a runs runs; \returns how many. */
    std::size_t sweep(std::size_t runs, const BucketTable &table, const FlowIdleLimits &limits,
                      FlowAge now);

    /** \brief Calls \a visit(const FlowRecord &) for each flow of \a bucket. */
    template <typename Visit>
    void visitBucket(std::uint16_t bucket, Visit &&visit) const
    {
        if (this->runs.empty())
            return;
        const std::size_t first = std::size_t{bucket} << this->splitBits;
        for (std::size_t i = first; i < first + (std::size_t{1} << this->splitBits); ++i) {
            const Run &run = this->runs[i];
            for (std::size_t k = run.offset; k < run.offset + run.count; ++k)
                visit(recordOf(bucket, this->entries[k]));
        }
    }

    [[nodiscard]] std::size_t size() const { return this->flowCount; }
    [[nodiscard]] std::size_t runCount() const { return this->runs.size(); }

    /** \returns allocated memory in bytes. */
    [[nodiscard]] std::size_t bytes() const;

private:
    static constexpr std::uint64_t ageMask = 0xff;
    static constexpr unsigned upstreamShift = 8;
    static constexpr unsigned fingerprintShift = 24;

    struct Run
    {
        std::uint32_t offset = 0;
        std::uint16_t count = 0;
        std::uint16_t capacity = 0;
    };

    static std::uint64_t pack(std::uint64_t flowHash, UpstreamId upstream, FlowAge age)
    {
        return (fingerprintOf(flowHash) << fingerprintShift)
               | (std::uint64_t{upstream.value} << upstreamShift) | age;
    }
    static UpstreamId upstreamOf(std::uint64_t entry)
    {
        return UpstreamId{static_cast<std::uint16_t>(entry >> upstreamShift)};
    }
    static FlowRecord recordOf(std::uint16_t bucket, std::uint64_t entry)
    {
        return {bucket, entry >> fingerprintShift, upstreamOf(entry)};
    }
    static FlowAge idle(std::uint64_t entry, FlowAge now)
    {
        return static_cast<FlowAge>(now - (entry & ageMask));
    }

    [[nodiscard]] std::size_t runIndex(std::uint64_t flowHash) const
    {
        const std::uint64_t sub = fingerprintOf(flowHash) >> (fingerprintBits - this->splitBits);
        return (std::size_t{bucketOf(flowHash)} << this->splitBits) | sub;
    }
    [[nodiscard]] const std::uint64_t *locate(std::uint64_t flowHash) const
    {
        if (this->runs.empty())
            return nullptr;
        const std::uint64_t fingerprint = fingerprintOf(flowHash);
        const Run &run = this->runs[this->runIndex(flowHash)];
        const std::uint64_t *entry = this->entries.data() + run.offset;
        for (const std::uint64_t *end = entry + run.count; entry != end; ++entry)
            if (*entry >> fingerprintShift == fingerprint)
                return entry;
        return nullptr;
    }
    std::uint64_t *locate(std::uint64_t flowHash)
    {
        return const_cast<std::uint64_t *>(std::as_const(*this).locate(flowHash));
    }

    void append(std::size_t index, std::uint64_t entry);
    void enlarge(Run &run);
    void removeAt(Run &run, std::size_t position);
    void split();

    unsigned splitBits = 0; //!< Binary logarithm of the runs per bucket.
    std::vector<Run> runs;  //!< Empty until the first flow.
    std::vector<std::uint64_t> entries;
    std::vector<std::vector<std::uint32_t>> freeRuns; //!< Offsets by capacity in run units.
    std::size_t flowCount = 0;
    std::size_t sweepPosition = 0;
};

} // namespace bulrushgap
