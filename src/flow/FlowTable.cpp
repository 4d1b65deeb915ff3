#include "flow/FlowTable.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::uint16_t runCapacityStep = 4; //!< Entries by which a run grows.
constexpr std::size_t maxMeanRunLength = 12;
constexpr std::size_t evictionSearchRuns = 64; //!< Runs searched before an exception is evicted.

} // namespace internal

void FlowTable::insert(std::uint64_t flowHash, UpstreamId upstream, CoarseTime now)
{
    if (std::uint64_t *entry = this->locate(flowHash)) {
        *entry = pack(flowHash, upstream, now);
        return;
    }
    if (this->runs.empty())
        this->runs.resize(bucketCount);
    if (this->flowCount >= this->runs.size() * internal::maxMeanRunLength)
        this->split();
    this->append(this->runIndex(flowHash), pack(flowHash, upstream, now));
    ++this->flowCount;
}

bool FlowTable::erase(std::uint64_t flowHash)
{
    const std::uint64_t *entry = this->locate(flowHash);
    if (entry == nullptr)
        return false;
    Run &run = this->runs[this->runIndex(flowHash)];
    this->removeAt(run, static_cast<std::size_t>(entry - this->entries.data()) - run.offset);
    return true;
}

bool FlowTable::isException(std::uint64_t flowHash, const BucketTable &table) const
{
    const std::uint64_t *entry = this->locate(flowHash);
    return entry != nullptr && upstreamOf(*entry) != table[bucketOf(flowHash)];
}

bool FlowTable::evictNear(std::uint16_t bucket, const BucketTable &table, CoarseTime now)
{
    struct Candidate
    {
        Run *run = nullptr;
        std::size_t position = 0;
        int rank = -1;
    } best;
    constexpr int ordinaryRank = 256;
    const std::size_t first = std::size_t{bucket} << this->splitBits;
    for (std::size_t i = 0; i < this->runs.size(); ++i) {
        const std::size_t index = (first + i) % this->runs.size();
        Run &run = this->runs[index];
        const auto owner = static_cast<std::uint16_t>(index >> this->splitBits);
        for (std::size_t k = 0; k < run.count; ++k) {
            const std::uint64_t entry = this->entries[run.offset + k];
            const bool ordinary = upstreamOf(entry) == table[owner];
            const int rank = idleTime(entry, now) + (ordinary ? ordinaryRank : 0);
            if (rank > best.rank)
                best = {&run, k, rank};
        }
        if (best.rank >= ordinaryRank || (best.run != nullptr && i >= internal::evictionSearchRuns))
            break;
    }
    if (best.run == nullptr)
        return false;
    this->removeAt(*best.run, best.position);
    return true;
}

std::size_t FlowTable::sweep(std::size_t runs, const BucketTable &table,
                             const FlowIdleLimits &limits, CoarseTime now)
{
    const std::size_t before = this->flowCount;
    for (std::size_t i = 0; i < std::min(runs, this->runs.size()); ++i) {
        this->sweepPosition = (this->sweepPosition + 1) % this->runs.size();
        Run &run = this->runs[this->sweepPosition];
        const auto bucket = static_cast<std::uint16_t>(this->sweepPosition >> this->splitBits);
        for (std::size_t k = run.count; k-- > 0;) {
            const std::uint64_t entry = this->entries[run.offset + k];
            const bool ordinary = upstreamOf(entry) == table[bucket];
            if (idleTime(entry, now) > (ordinary ? limits.ordinary : limits.exception))
                this->removeAt(run, k);
        }
    }
    return before - this->flowCount;
}

std::size_t FlowTable::bytes() const
{
    std::size_t total = this->runs.capacity() * sizeof(Run);
    total += this->entries.capacity() * sizeof(std::uint64_t);
    for (const auto &offsets : this->freeRuns)
        total += sizeof(std::vector<std::uint32_t>) + offsets.capacity() * sizeof(std::uint32_t);
    return total;
}

void FlowTable::append(std::size_t index, std::uint64_t entry)
{
    Run &run = this->runs[index];
    if (run.count == run.capacity)
        this->enlarge(run);
    this->entries[run.offset + run.count] = entry;
    ++run.count;
}

void FlowTable::enlarge(Run &run)
{
    const std::size_t capacity = run.capacity + internal::runCapacityStep;
    assert(capacity <= 0xffff);
    this->freeRuns.resize(
        std::max(this->freeRuns.size(), capacity / internal::runCapacityStep + 1));
    auto &available = this->freeRuns[capacity / internal::runCapacityStep];
    std::size_t offset = this->entries.size();
    if (!available.empty()) {
        offset = available.back();
        available.pop_back();
    } else {
        // Grows by an eighth instead of doubling to limit unused capacity.
        if (offset + capacity > this->entries.capacity())
            this->entries.reserve(offset + offset / 8 + capacity);
        this->entries.resize(offset + capacity);
    }
    std::copy_n(this->entries.begin() + run.offset, run.count,
                this->entries.begin() + static_cast<std::ptrdiff_t>(offset));
    if (run.capacity > 0)
        this->freeRuns[run.capacity / internal::runCapacityStep].push_back(run.offset);
    run.offset = static_cast<std::uint32_t>(offset);
    run.capacity = static_cast<std::uint16_t>(capacity);
}

void FlowTable::removeAt(Run &run, std::size_t position)
{
    assert(position < run.count);
    --run.count;
    --this->flowCount;
    this->entries[run.offset + position] = this->entries[run.offset + run.count];
}

void FlowTable::split()
{
    const std::vector<Run> oldRuns = std::exchange(this->runs, {});
    const std::vector<std::uint64_t> oldEntries = std::exchange(this->entries, {});
    const unsigned oldSplitBits = this->splitBits++;
    this->freeRuns.clear();
    this->sweepPosition = 0;
    this->runs.resize(bucketCount << this->splitBits);
    this->entries.reserve(oldEntries.size());
    for (std::size_t i = 0; i < oldRuns.size(); ++i) {
        const auto bucket = static_cast<std::uint16_t>(i >> oldSplitBits);
        for (std::size_t k = 0; k < oldRuns[i].count; ++k) {
            const std::uint64_t entry = oldEntries[oldRuns[i].offset + k];
            this->append(this->runIndex(flowHashOf(recordOf(bucket, entry))), entry);
        }
    }
}

} // namespace bulrushgap
