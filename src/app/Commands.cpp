#include "app/Commands.h"

#include "service/ExitCode.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace bulrushgap {

namespace internal {

constexpr int nameWidth = 12;

void printCommands(std::ostream &stream, std::string_view program, std::span<const Command> table)
{
    stream << "usage: " << program << " COMMAND [OPTIONS]\n";
    for (const Command &command : table)
        stream << "  " << std::left << std::setw(nameWidth) << command.name << command.help << '\n';
    stream << "`" << program << " COMMAND --help` shows the options of a command.\n";
}

} // namespace internal

int runFrom(std::string_view program, std::span<const Command> table,
            std::span<const std::string> arguments)
{
    if (arguments.empty()) {
        internal::printCommands(std::cerr, program, table);
        return toInt(ExitCode::Usage);
    }
    const std::string &name = arguments.front();
    if (name == "--help" || name == "-h") {
        internal::printCommands(std::cout, program, table);
        return toInt(ExitCode::Success);
    }
    const auto command = std::ranges::find(table, name, &Command::name);
    if (command == table.end()) {
        std::cerr << program << ": no such command: " << name << '\n';
        internal::printCommands(std::cerr, program, table);
        return toInt(ExitCode::Usage);
    }
    return command->run(arguments.subspan(1));
}

int runCommand(std::span<const std::string> arguments)
{
    if (!arguments.empty() && arguments.front() == "--version") {
        std::cout << "bulrushgap " << BULRUSHGAP_VERSION << '\n';
        return toInt(ExitCode::Success);
    }
    return runFrom("bulrushgap", commands(), arguments);
}

} // namespace bulrushgap
