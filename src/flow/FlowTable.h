#pragma once

#include "base/Time.h"
#include "flow/BucketTable.h"
#include "flow/FlowHash.h"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace bulrushgap {

/** \brief Timestamp of the coarse clock that measures how long flows are idle; wraps around. */
using CoarseTime = std::uint8_t;

/** \brief Idle timeouts of flows in units of the coarse clock. */
struct FlowIdleLimits
{
    CoarseTime ordinary = 24;
    CoarseTime exception = 192; //!< Longer: an expired exception would move to another upstream.
};

/** \brief Hash table of the flows of one service.
 *
 * An entry takes 8 bytes: fingerprint (40 bits), upstream (16 bits) and time of the last packet
 * (8 bits). Entries are stored in short contiguous runs. Each bucket has one or more runs, so the
 * index of a run implies the bucket and all flows of a bucket can be listed without a search. A
 * flow is an exception if its upstream differs from the one that the bucket table assigns to its
 * bucket; otherwise it is ordinary.
 */
class FlowTable
{
public:
    /** \brief Looks up a flow and updates the time of its last packet.
     * \returns the upstream of the flow, or nothing if it is not recorded
     */
    std::optional<UpstreamId> find(std::uint64_t flowHash, CoarseTime now)
    {
        std::uint64_t *entry = this->locate(flowHash);
        if (entry == nullptr)
            return std::nullopt;
        *entry = (*entry & ~lastSeenMask) | now;
        return upstreamOf(*entry);
    }

    /** \brief Inserts a flow or replaces its upstream. */
    void insert(std::uint64_t flowHash, UpstreamId upstream, CoarseTime now);

    /** \returns whether the flow was present. */
    bool erase(std::uint64_t flowHash);

    [[nodiscard]] bool isException(std::uint64_t flowHash, const BucketTable &table) const;

    /** \brief Evicts the ordinary flow that was idle longest near \a bucket.
     *
     * Evicts an exception if no ordinary flow is found.
     * \returns whether a flow was evicted
     */
    bool evictNear(std::uint16_t bucket, const BucketTable &table, CoarseTime now);

    /** \brief Removes idle flows from the next \a runs runs.
     * \returns the number of removed flows
     */
    std::size_t sweep(std::size_t runs, const BucketTable &table, const FlowIdleLimits &limits,
                      CoarseTime now);

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

    /** \returns the allocated memory in bytes. */
    [[nodiscard]] std::size_t bytes() const;

private:
    static constexpr std::uint64_t lastSeenMask = 0xff;
    static constexpr unsigned upstreamShift = 8;
    static constexpr unsigned fingerprintShift = 24;

    struct Run
    {
        std::uint32_t offset = 0;
        std::uint16_t count = 0;
        std::uint16_t capacity = 0;
    };

    static std::uint64_t pack(std::uint64_t flowHash, UpstreamId upstream, CoarseTime lastSeen)
    {
        return (fingerprintOf(flowHash) << fingerprintShift)
               | (std::uint64_t{upstream.value} << upstreamShift) | lastSeen;
    }
    static UpstreamId upstreamOf(std::uint64_t entry)
    {
        return UpstreamId{static_cast<std::uint16_t>(entry >> upstreamShift)};
    }
    static FlowRecord recordOf(std::uint16_t bucket, std::uint64_t entry)
    {
        return {bucket, entry >> fingerprintShift, upstreamOf(entry)};
    }
    static CoarseTime idleTime(std::uint64_t entry, CoarseTime now)
    {
        return static_cast<CoarseTime>(now - (entry & lastSeenMask));
    }

    [[nodiscard]] std::size_t runIndex(std::uint64_t flowHash) const
    {
        const std::uint64_t subIndex
            = fingerprintOf(flowHash) >> (fingerprintBits - this->splitBits);
        return (std::size_t{bucketOf(flowHash)} << this->splitBits) | subIndex;
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

    unsigned splitBits = 0; //!< log2 of the number of runs per bucket.
    std::vector<Run> runs;  //!< Empty until the first insertion.
    std::vector<std::uint64_t> entries;
    std::vector<std::vector<std::uint32_t>> freeRuns; //!< Offsets of free runs, by capacity step.
    std::size_t flowCount = 0;
    std::size_t sweepPosition = 0;
};

} // namespace bulrushgap
