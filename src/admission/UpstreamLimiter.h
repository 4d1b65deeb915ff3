#pragma once

#include "base/Time.h"

#include <algorithm>
#include <cstdint>

namespace bulrushgap {

/** \brief Counts the requests in flight at one upstream and enforces its limit.
 *
 * Requests of this instance are counted exactly, those of a previous owner are assumed.
 */
class UpstreamLimiter
{
public:
    /** \brief Takes a slot. \returns false if none is free. */
    bool tryAcquire(std::uint16_t limit)
    {
        if (this->free(limit) == 0)
            return false;
        ++this->ownCount;
        return true;
    }

    /** \brief Returns a slot taken by tryAcquire(). */
    void release();

    /** \brief Counts \a count slots as used by a previous owner, until \a until at the latest.
     * \param reported whether the count comes from the previous owner, which also reports when
     * it falls */
    void assume(std::uint16_t count, TimePoint until, bool reported);

    /** \brief Lowers the assumed slots to what the upstream or the previous owner reports. */
    void assumeAtMost(std::uint16_t count)
    {
        this->assumedCount = std::min(this->assumedCount, count);
        this->assumptionReported = true;
    }

    /** \returns the latest time at which a slot becomes free; \a now if one is free under
     * \a limit, or if it can become free any time by the end of a request or by a report. */
    [[nodiscard]] TimePoint slotFreeAt(std::uint16_t limit, TimePoint now) const
    {
        const bool unconfirmed = this->assumedCount > 0 && !this->assumptionReported;
        if (this->ownCount > 0 || !unconfirmed || this->free(limit) > 0)
            return now;
        return std::max(now, this->assumedUntil);
    }

    /** \brief Drops the assumed slots once the deadlines of their requests have passed. */
    void expire(TimePoint now)
    {
        if (now >= this->assumedUntil)
            this->assumedCount = 0;
    }

    [[nodiscard]] std::uint16_t inFlight() const
    {
        return static_cast<std::uint16_t>(this->ownCount + this->assumedCount);
    }
    [[nodiscard]] std::uint16_t ownInFlight() const { return this->ownCount; }
    [[nodiscard]] std::uint16_t free(std::uint16_t limit) const
    {
        return static_cast<std::uint16_t>(limit - std::min(limit, this->inFlight()));
    }

private:
    std::uint16_t ownCount = 0;
    std::uint16_t assumedCount = 0;
    bool assumptionReported = false; //!< By the previous owner or the upstream.
    TimePoint assumedUntil;
};

} // namespace bulrushgap
