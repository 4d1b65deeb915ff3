#pragma once

#include "plan/ObjectFault.h"
#include "plan/Plan.h"

#include <boost/json.hpp>
#include <boost/leaf.hpp>

#include <cstdint>

namespace bulrushgap {

/** \brief Content of the plan object: a plan and the id of the write that stored it. */
struct StoredPlan
{
    Plan plan;
    std::uint64_t writeId = 0; //!< Unique; identifies unacknowledged writes that succeeded.

    friend bool operator==(const StoredPlan &, const StoredPlan &) = default;
};

/** \brief Encodes the value of plan/SCOPE.
 *
 * The plan's store version and overlay are left out: the store assigns the version with the write,
 * and a stored plan is never an overlay.
 */
[[nodiscard]] boost::json::value planToJson(const Plan &plan, std::uint64_t writeId);

/** \brief Decodes the value of plan/SCOPE, whose object has the version \a storeVersion.
 *
 * Unknown members are not kept: each planner derives the whole plan from the objects.
 * \returns the plan with its store version set, or an error with ObjectFaults.
 */
[[nodiscard]] boost::leaf::result<StoredPlan> planFromJson(const boost::json::value &value,
                                                           std::uint64_t storeVersion);

} // namespace bulrushgap
