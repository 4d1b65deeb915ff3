#pragma once

#include "base/Time.h"

#include <cstddef>
#include <cstdint>

namespace bulrushgap {

/** \brief Token bucket that limits the bytes per second that an instance sends to its peers.
 *
 * An amount above the burst may be taken from a full bucket and leaves a debt, so that a large
 * message is delayed but never blocked for good.
 */
class ByteBudget
{
public:
    ByteBudget(std::uint64_t bytesPerSecond, std::uint64_t burst, TimePoint now);

    /** \brief Takes \a bytes if \a reserve bytes remain afterwards. \returns false otherwise. */
    [[nodiscard]] bool take(TimePoint now, std::size_t bytes, std::size_t reserve = 0);

    /** \brief Takes \a bytes in any case; what is missing is a debt that later bytes wait for. */
    void charge(TimePoint now, std::size_t bytes);

    /** \returns the time until take() succeeds with the same arguments; zero if it does now. */
    [[nodiscard]] Duration delay(TimePoint now, std::size_t bytes, std::size_t reserve = 0);

private:
    void refill(TimePoint now);
    [[nodiscard]] double shortage(std::size_t bytes, std::size_t reserve) const;

    double rate;
    double burst;
    double tokens;
    TimePoint last;
};

} // namespace bulrushgap
