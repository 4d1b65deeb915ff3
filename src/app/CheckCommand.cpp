#include "app/CheckCommand.h"

#include "app/SettingsKinds.h"
#include "service/CommandOptions.h"
#include "service/ExitCode.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/program_options/value_semantic.hpp>

#include <algorithm>
#include <iostream>

namespace bulrushgap {

namespace internal {

std::string kindNames()
{
    std::string names;
    for (const SettingsKind &kind : settingsKinds())
        names += (names.empty() ? "" : ", ") + std::string(kind.name);
    return names;
}

int checkFile(const SettingsReader &reader, const std::string &file)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<int> {
            BOOST_LEAF_CHECK(reader.readFile(file));
            std::cout << file << ": valid\n";
            return toInt(ExitCode::Success);
        },
        [&](const SettingsFaults &error) { return reportFaults(file, error.faults); },
        [] { return toInt(ExitCode::Failed); });
}

} // namespace internal

int runCheck(std::span<const std::string> arguments)
{
    CommandOptions options("bulrushgap check [--kind KIND] (FILE | --reference)");
    const std::string kindHelp = "kind of file: " + internal::kindNames();
    namespace po = boost::program_options;
    options.table.add_options()(
        "kind", po::value<std::string>()->default_value(std::string(settingsKinds().front().name)),
        kindHelp.c_str())("reference", "prints the fields as Markdown")(
        "file", po::value<std::string>(), "settings file");
    options.positional.add("file", 1);
    if (const auto code = options.parse(arguments))
        return *code;
    const std::string name = options.text("kind");
    const auto kind = std::ranges::find(settingsKinds(), name, &SettingsKind::name);
    if (kind == settingsKinds().end())
        return options.usageError("no such kind of file: " + name);
    if (options.has("reference")) {
        std::cout << fieldReference(kind->reader().table());
        return toInt(ExitCode::Success);
    }
    if (!options.has("file"))
        return options.usageError("a file is required");
    return internal::checkFile(kind->reader(), options.text("file"));
}

} // namespace bulrushgap
