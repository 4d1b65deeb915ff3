#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace {

std::string contentOf(const std::filesystem::path &path)
{
    std::ifstream file(path);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), {}};
}

std::set<std::string> matches(const std::string &text, const std::string &pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator match(text.begin(), text.end(), expression), end; match != end;
         ++match)
        found.insert((*match)[1]);
    return found;
}

} // namespace

// Guards against documentation of log events that the program does not write.
TEST_CASE("each event of docs/OPERATIONS.md is logged by the balancer", "[OperationsPage]")
{
    const std::filesystem::path root(BULRUSHGAP_SOURCE_DIR);
    std::string sources;
    for (const char *folder :
         {"src/balancer", "src/readiness", "src/role", "src/service", "src/view"}) {
        for (const auto &entry : std::filesystem::directory_iterator(root / folder)) {
            if (entry.path().extension() == ".cpp")
                sources += contentOf(entry.path());
        }
    }
    const std::string page = contentOf(root / "docs/OPERATIONS.md");
    auto events = matches(page, "event=([a-z_]+)");
    events.merge(matches(page, "\n\\| `([a-z_]+)`"));
    CHECK(events.size() > 10);
    for (const std::string &event : events) {
        INFO(event);
        CHECK(sources.find('"' + event + '"') != std::string::npos);
    }
}
