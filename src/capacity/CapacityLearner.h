#pragma once

#include "base/Endpoint.h"
#include "capacity/UsualTime.h"
#include "directory/UpstreamDirectory.h"
#include "outcome/RequestOutcome.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <functional>

namespace bulrushgap::balance {

/** \brief Called when the factor of an upstream has halved or doubled since the last call. */
using CapacityChangeHandler
    = std::function<void(UpstreamIndex upstream, double before, double after)>;

/** \brief Learns the capacity of upstreams from the outcomes of this instance's requests.
 *
 * Times are compared with the usual time of the same route on this instance, so a slow network or
 * a slow instance is not taken for a slow upstream.
 */
class CapacityLearner
{
public:
    CapacityLearner(UpstreamDirectory &directory, CapacityChangeHandler onChange);

    /** \brief Adds the answer time of a request; refused and unanswered requests have none. */
    void onOutcome(const RequestObservation &observation, TimePoint now);

private:
    void reportChange(UpstreamIndex upstream, TimePoint now);

    UpstreamDirectory &directory;
    CapacityChangeHandler onChange;
    boost::unordered_flat_map<std::uint64_t, UsualTime> byRoute;
};

/** \brief Lowest and mean capacity factor of the registered upstreams. */
struct CapacitySpread
{
    double least = 1.0; //!< Lowest factor; at most 1.
    double mean = 1.0;
};

/** \returns the spread at \a now; both 1 without registered upstreams. */
[[nodiscard]] CapacitySpread spreadOf(const UpstreamDirectory &directory, TimePoint now);

} // namespace bulrushgap::balance
