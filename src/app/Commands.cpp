#include "app/Commands.h"

#include "admin/OperateCommand.h"
#include "app/CheckCommand.h"
#include "app/StandinCommands.h"
#include "role/InstanceCommand.h"
#include "service/ExitCode.h"
#include "standin/CallerStandin.h"
#include "standin/FabricStandin.h"
#include "standin/UpstreamHost.h"

#include <algorithm>
#include <array>
#include <iomanip>
#include <iostream>

namespace bulrushgap {

namespace internal {

using Arguments = std::span<const std::string>;

constexpr int nameWidth = 12;

void printCommands(std::ostream &stream, std::string_view program, std::span<const Command> table)
{
    stream << "usage: " << program << " COMMAND [OPTIONS]\n";
    for (const Command &command : table)
        stream << "  " << std::left << std::setw(nameWidth) << command.name << command.help << '\n';
    stream << "`" << program << " COMMAND --help` shows the options of a command.\n";
}

/** \brief Runs the row of \a table that the first argument names. */
int runFrom(std::string_view program, std::span<const Command> table, Arguments arguments)
{
    if (arguments.empty()) {
        printCommands(std::cerr, program, table);
        return toInt(ExitCode::Usage);
    }
    const std::string &name = arguments.front();
    if (name == "--help" || name == "-h") {
        printCommands(std::cout, program, table);
        return toInt(ExitCode::Success);
    }
    const auto command = std::ranges::find(table, name, &Command::name);
    if (command == table.end()) {
        std::cerr << program << ": no such command: " << name << '\n';
        printCommands(std::cerr, program, table);
        return toInt(ExitCode::Usage);
    }
    return command->run(arguments.subspan(1));
}

int runStandin(Arguments arguments)
{
    return runFrom("bulrushgap standin", standinCommands(), arguments);
}

} // namespace internal

// clang-format off
std::span<const Command> commands()
{
    static const std::array table{
        Command{"check", "checks a settings file or prints the reference of its fields", runCheck},
        Command{"instance", "runs an instance of the load balancer", runInstance},
        Command{"operate", "operators' command over the administration API", runOperate},
        Command{"standin", "runs a stand-in of an outside system", internal::runStandin},
    };
    return table;
}

std::span<const Command> standinCommands()
{
    static const std::array table{
        Command{"callers", "callers that load services and check what they get", runCallersStandin},
        Command{"fabric", "fabric that hands any packet to any instance", runFabricStandin},
        Command{"platform", "object API of the platform, in memory", runPlatformStandin},
        Command{"upstream", "upstreams of services, any number in one process", runUpstreamStandin},
    };
    return table;
}
// clang-format on

int runCommand(std::span<const std::string> arguments)
{
    if (!arguments.empty() && arguments.front() == "--version") {
        std::cout << "bulrushgap " << BULRUSHGAP_VERSION << '\n';
        return toInt(ExitCode::Success);
    }
    return internal::runFrom("bulrushgap", commands(), arguments);
}

} // namespace bulrushgap
