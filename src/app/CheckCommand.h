#pragma once

#include <span>
#include <string>

namespace bulrushgap {

/** \brief `bulrushgap check`: checks a settings file, or prints the reference of its fields.
 *
 * \returns the exit code.
 */
int runCheck(std::span<const std::string> arguments);

} // namespace bulrushgap
