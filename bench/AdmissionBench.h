#pragma once

#include <span>
#include <string>

namespace bulrushgap {

/** \brief Compares admission policies in virtual time and prints a table.
 * \param arguments `--seed N` and `--json`
 * \returns the exit code of the process */
int runAdmissionBench(std::span<const std::string> arguments);

} // namespace bulrushgap
