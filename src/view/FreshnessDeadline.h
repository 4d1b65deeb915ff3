#pragma once

#include "base/Time.h"

#include <cstddef>

namespace bulrushgap::balance {

/** \brief Tells when an instance must leave a source because the view has become too old.
 *
 * The limit on the age grows with the level in the tree of the domain and with the rank within the
 * level, so that the instances of a domain turn to the store one after the other, but all of them
 * before an age that does not depend on the depth. After each passed deadline the next one is
 * later, as long as no source has a current view.
 */
class FreshnessDeadline
{
public:
    /** \param rank index in the tree of the domain, in which each instance has \a children. */
    [[nodiscard]] static Duration limitOf(std::size_t rank, std::size_t children);

    /** \returns the time until the source must be left, at most zero if it must be now. */
    [[nodiscard]] Duration remaining(Duration age, Duration limit, TimePoint now) const;

    /** \brief Notes that the source was left, and delays the next deadline.
     *
     * \returns whether it is the first since a source had a current view */
    bool onPassed(TimePoint now);

    /** \brief Notes that a source has a view within the limit. */
    void onFresh();

    /** \returns whether to leave a source that has no source itself without waiting for it. Holds
     * for a few sources after each passed deadline: in an outage of the store, instances that went
     * on without a pause would overload it when it returns. */
    [[nodiscard]] bool takeHastyAttempt();

private:
    Duration delay{};
    TimePoint nextAt{};
    unsigned hastyAttempts = 0;
};

} // namespace bulrushgap::balance
