#pragma once

#include <span>
#include <string>

namespace bulrushgap {

/** \brief `bulrushgap experiment`: plays a deployment with faults in virtual time.
 * \returns the exit code; Failed if a promise was broken. */
int runExperiment(std::span<const std::string> arguments);

} // namespace bulrushgap
