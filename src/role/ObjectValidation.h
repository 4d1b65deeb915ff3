#pragma once

#include "admin/AdminTypes.h"
#include "service/Fault.h"

#include <boost/json/value.hpp>

#include <vector>

namespace bulrushgap {

/** \brief Validates the value of an operator's object with the decoders that the planner uses.
 *  \returns all faults; empty if the value is valid
 */
[[nodiscard]] std::vector<Fault> validateObject(ObjectKind kind, const boost::json::value &value);

} // namespace bulrushgap
