#pragma once

#include <span>
#include <string>

namespace bulrushgap {

/** \brief `bulrushgap operate`: the operators' command over the administration API.
 *
 * \returns the exit code.
 */
int runOperate(std::span<const std::string> arguments);

} // namespace bulrushgap
