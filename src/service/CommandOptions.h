#pragma once

#include "service/Fault.h"

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/variables_map.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief Command-line options of one command, including `--help`. */
class CommandOptions
{
public:
    /** \param usage one line, for example "bulrushgap check [OPTIONS] FILE". */
    explicit CommandOptions(std::string_view usage);

    /** \brief Options of the command; callers add theirs. */
    boost::program_options::options_description table;

    /** \brief Options that positional arguments are assigned to. */
    boost::program_options::positional_options_description positional;

    /** \brief Parses \a arguments.
     *
     * Prints the help or an error message if the command must not run.
     * \returns the exit code in that case, otherwise nothing.
     */
    [[nodiscard]] std::optional<int> parse(std::span<const std::string> arguments);

    [[nodiscard]] bool has(const std::string &name) const { return this->values.count(name) > 0; }

    /** \returns the value of an option of type std::string; empty if not given. */
    [[nodiscard]] std::string text(const std::string &name) const;

    /** \returns the values of an option of type std::vector<std::string>; empty if not given. */
    [[nodiscard]] std::vector<std::string> list(const std::string &name) const;

    /** \brief Prints \a message and the usage. \returns the exit code of a usage error. */
    [[nodiscard]] int usageError(std::string_view message) const;

private:
    std::string usage;
    boost::program_options::variables_map values;
};

/** \brief Prints each fault of \a file to stderr. \returns ExitCode::InvalidSettings. */
int reportFaults(std::string_view file, const std::vector<Fault> &faults);

} // namespace bulrushgap
