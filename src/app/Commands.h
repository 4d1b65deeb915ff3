#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Row of a table of subcommands. */
struct Command
{
    std::string_view name;
    std::string_view help; //!< One line.
    std::function<int(std::span<const std::string> arguments)> run;
};

/** \returns the subcommands of the binary. */
[[nodiscard]] std::span<const Command> commands();

/** \returns the subcommands of `bulrushgap standin`. */
[[nodiscard]] std::span<const Command> standinCommands();

/** \brief Runs the row of \a table that the first argument names. \returns the exit code. */
int runFrom(std::string_view program, std::span<const Command> table,
            std::span<const std::string> arguments);

/** \brief Runs the subcommand that \a arguments starts with. \returns the exit code. */
int runCommand(std::span<const std::string> arguments);

} // namespace bulrushgap
