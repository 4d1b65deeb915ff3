#pragma once

#include "base/Time.h"

namespace bulrushgap::balance {

/** \brief Speed of one upstream relative to the others of its service.
 *
 * Learned from the times of its answers, since upstreams of one service differ and some slow down
 * long before their slots are in use. Without answers the estimate returns to the usual speed, so
 * that an upstream which has recovered is used again.
 */
class CapacityEstimate
{
public:
    /** \brief Adds an answer that took \a ratio times the usual time of its route. */
    void add(double ratio, TimePoint now);

    /** \returns the factor by which its slots are multiplied, from 0.05 to 2: the inverse of the
     * average ratio, 1 at the usual speed. */
    [[nodiscard]] double factor(TimePoint now) const;

private:
    /** \returns the weight that the estimate still has, from 1 to 0. */
    [[nodiscard]] double weightAt(TimePoint now) const;

    double slowdown = 0.0; //!< Binary logarithm of the average ratio.
    TimePoint updatedAt{};
};

} // namespace bulrushgap::balance
