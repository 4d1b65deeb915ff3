#include "app/Commands.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>
#include <vector>

using namespace bulrushgap;

namespace {

struct CommandRun
{
    int code;
    std::string output;
};

/** \brief Runs a command in this process and captures stdout and stderr. */
CommandRun run(const std::vector<std::string> &arguments)
{
    std::ostringstream output;
    auto *const out = std::cout.rdbuf(output.rdbuf());
    auto *const err = std::cerr.rdbuf(output.rdbuf());
    const int code = runCommand(arguments);
    std::cout.rdbuf(out);
    std::cerr.rdbuf(err);
    return {code, output.str()};
}

} // namespace

// Guards against wrong exit codes, which scripts of operators rely on.
TEST_CASE("commands report usage and faults by exit code", "[Commands]")
{
    const auto [arguments, code, text]
        = GENERATE(table<std::vector<std::string>, int, std::string>({
            {{"--version"}, 0, "bulrushgap "},
            {{"--help"}, 0, "check"},
            {{}, 2, "usage"},
            {{"chekc"}, 2, "no such command"},
            {{"check", "--help"}, 0, "--kind"},
            {{"check"}, 2, "a file is required"},
            {{"check", "--bogus"}, 2, "bogus"},
            {{"check", "--kind", "bogus", "x"}, 2, "no such kind"},
            {{"check", "--reference"},
             0,
             "| `timers.heartbeatMs` | integer from 10 to 60000 ms | "},
            {{"check", "--reference", "--kind", "platform"}, 0, "`historyLimit`"},
            {{"check", "/nonexistent/file"}, 3, "readable file"},
            {{"standin"}, 2, "platform"},
            {{"standin", "platform"}, 2, "--settings"},
            {{"standin", "platform", "--settings", "/nonexistent/file"}, 3, "readable file"},
        }));
    const CommandRun result = run(arguments);
    CAPTURE(arguments, result.output);
    REQUIRE(result.code == code);
    REQUIRE(result.output.find(text) != std::string::npos);
}

// Guards against a check that accepts what the role later refuses.
TEST_CASE("check reads the file", "[Commands]")
{
    const std::string path = (std::filesystem::temp_directory_path()
                              / ("bulrushgap-check-" + std::to_string(getpid())))
                                 .string();
    const auto [content, code] = GENERATE(table<std::string, int>(
        {{R"({"listen": "127.0.0.1:0"})", 0}, {R"({"lisen": "127.0.0.1:0"})", 3}}));
    std::ofstream(path) << content;
    const CommandRun result = run({"check", "--kind", "platform", path});
    std::remove(path.c_str());
    CAPTURE(result.output);
    REQUIRE(result.code == code);
}
