#pragma once

#include <span>
#include <string>

namespace bulrushgap {

/** \brief `bulrushgap explain`: asks instances on the users' platform where a new flow would go.
 *
 * \returns the exit code: Failed if an instance would refuse the flow, Unreachable if one does not
 * answer or is not ready.
 */
int runExplain(std::span<const std::string> arguments);

} // namespace bulrushgap
