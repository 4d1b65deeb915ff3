#pragma once

#include "base/Time.h"

namespace bulrushgap::balance {

/** \brief Running median of the answer times of a route.
 *
 * A median, since slow upstreams must not shift what counts as usual.
 */
class UsualTime
{
public:
    /** \brief Adds the time of an answer. */
    void add(Duration time);

    /** \returns the ratio of \a time to the usual time; 1 until the usual time is known. */
    [[nodiscard]] double ratioOf(Duration time) const;

private:
    [[nodiscard]] bool isKnown() const;

    double median = 0.0;  //!< Binary logarithm of the time in microseconds.
    unsigned samples = 0; //!< Answers so far, up to a bound.
};

} // namespace bulrushgap::balance
