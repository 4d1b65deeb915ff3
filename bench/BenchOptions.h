#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap::bench {

/** \brief Options that all benchmarks share. */
struct BenchOptions
{
    std::uint64_t seed = 1;
    bool json = false;
    std::string plotDirectory; //!< Only of slopes; empty for no plots.
};

/** \brief Parses `--seed N`, `--json` and, with \a plots, `--plot DIRECTORY`.
 * \throws boost::program_options::error for an unknown or malformed option.
 */
BenchOptions parseBenchOptions(std::span<const std::string> arguments, bool plots = false);

} // namespace bulrushgap::bench
