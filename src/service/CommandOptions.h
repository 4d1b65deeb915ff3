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

/** \brief Options of one command, with `--help` added. */
class CommandOptions
{
public:
    /** \param usage one line, for example "bulrushgap check [OPTIONS] FILE". */
    explicit CommandOptions(std::string_view usage);

    /** \brief Table to add options to. */
    boost::program_options::options_description table;

    /** \brief Positional arguments go to the options of these names. */
    boost::program_options::positional_options_description positional;

    /** \brief Parses \a arguments.
     *
     * Prints help or what is wrong with the arguments.
     * \returns the exit code if the command must not run, otherwise nothing.
     */
    [[nodiscard]] std::optional<int> parse(std::span<const std::string> arguments);

    [[nodiscard]] bool has(const std::string &name) const { return this->values.count(name) > 0; }

    /** \returns the value of an option of type std::string, or an empty text. */
    [[nodiscard]] std::string text(const std::string &name) const;

    /** \returns the values of an option of type std::vector<std::string>, or none. */
    [[nodiscard]] std::vector<std::string> list(const std::string &name) const;

    /** \brief Prints why the arguments are wrong. \returns the exit code of a usage error. */
    [[nodiscard]] int usageError(std::string_view message) const;

private:
    std::string usage;
    boost::program_options::variables_map values;
};

/** \brief Prints each fault of \a file to stderr. \returns the exit code of invalid settings. */
int reportFaults(std::string_view file, const std::vector<Fault> &faults);

} // namespace bulrushgap
