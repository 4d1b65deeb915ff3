#pragma once

#include <span>
#include <string>

namespace bulrushgap {

/** \brief Runs `bulrushgap instance` until SIGINT or SIGTERM. \returns the exit code. */
int runInstance(std::span<const std::string> arguments);

} // namespace bulrushgap
