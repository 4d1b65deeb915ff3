#pragma once

#include <span>
#include <string>

namespace bulrushgap {

/** \brief Runs `bulrushgap balancer` until SIGINT or SIGTERM. \returns the exit code. */
int runBalancer(std::span<const std::string> arguments);

} // namespace bulrushgap
