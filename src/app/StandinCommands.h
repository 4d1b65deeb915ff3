#pragma once

#include <span>
#include <string>

namespace bulrushgap {

/** \brief `bulrushgap standin platform`: runs until SIGINT or SIGTERM. \returns the exit code. */
int runPlatformStandin(std::span<const std::string> arguments);

} // namespace bulrushgap
