#include "service/CommandOptions.h"

#include "service/ExitCode.h"

#include <boost/program_options/parsers.hpp>

#include <iostream>

namespace bulrushgap {

namespace options = boost::program_options;

CommandOptions::CommandOptions(std::string_view usage)
    : table("Options")
    , usage(usage)
{
    this->table.add_options()("help,h", "prints this help");
}

std::optional<int> CommandOptions::parse(std::span<const std::string> arguments)
{
    // Boost.Program_options throws on invalid arguments; the exceptions are handled here.
    try {
        const std::vector<std::string> copy(arguments.begin(), arguments.end());
        options::store(options::command_line_parser(copy)
                           .options(this->table)
                           .positional(this->positional)
                           .run(),
                       this->values);
        if (this->has("help")) {
            std::cout << "usage: " << this->usage << '\n' << this->table;
            return toInt(ExitCode::Success);
        }
        options::notify(this->values);
    } catch (const options::error &error) {
        return this->usageError(error.what());
    }
    return std::nullopt;
}

std::string CommandOptions::text(const std::string &name) const
{
    const auto *value
        = this->has(name) ? boost::any_cast<std::string>(&this->values[name].value()) : nullptr;
    return value == nullptr ? std::string() : *value;
}

std::vector<std::string> CommandOptions::list(const std::string &name) const
{
    using List = std::vector<std::string>;
    const auto *value
        = this->has(name) ? boost::any_cast<List>(&this->values[name].value()) : nullptr;
    return value == nullptr ? List() : *value;
}

int CommandOptions::usageError(std::string_view message) const
{
    std::cerr << message << "\nusage: " << this->usage << '\n';
    return toInt(ExitCode::Usage);
}

int reportFaults(std::string_view file, const std::vector<Fault> &faults)
{
    for (const Fault &fault : faults)
        std::cerr << file << ": " << fault.toString() << '\n';
    return toInt(ExitCode::InvalidSettings);
}

} // namespace bulrushgap
