#include "app/SettingsKinds.h"
#include "base/Reasons.h"
#include "service/Field.h"
#include "simulation/FaultSettings.h"
#include "steering/SteeringDecision.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <sstream>

using namespace bulrushgap;

namespace {

const std::filesystem::path sourceDirectory{BULRUSHGAP_SOURCE_DIR};

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    INFO("file " << path);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string page(const std::string &name)
{
    return readFile(sourceDirectory / "docs/operators" / name);
}

/** \returns the entries named in the first column of the tables of a page. */
std::set<std::string> entriesOf(const std::string &text)
{
    static const std::regex quoted("`([a-z0-9_]+)(TYPE)?`");
    std::set<std::string> entries;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("| `"))
            continue;
        const std::string cell = line.substr(1, line.find('|', 1) - 1);
        for (std::sregex_iterator match(cell.begin(), cell.end(), quoted), end; match != end;
             ++match)
            entries.insert((*match)[1]);
    }
    return entries;
}

/** \brief Adds the texts in quotes of each match of \a statement. */
void collectNames(const std::string &text, const std::regex &statement,
                  std::set<std::string> &names)
{
    static const std::regex literal("\"([a-z0-9_]+)\"");
    for (std::sregex_iterator found(text.begin(), text.end(), statement), end; found != end;
         ++found) {
        const std::string part = found->str();
        for (std::sregex_iterator name(part.begin(), part.end(), literal), last; name != last;
             ++name)
            names.insert((*name)[1]);
    }
}

/** \returns the names of the event counters in the sources, without those of the stand-ins. */
std::set<std::string> counterNames()
{
    static const std::regex added(R"(counters\.add\([^;]*;)");
    // Names that a function returns to the caller of Counters::add.
    static const std::regex refusal(R"("peer_refused_[a-z_]+")");
    std::set<std::string> names;
    for (const auto &entry :
         std::filesystem::recursive_directory_iterator(sourceDirectory / "src")) {
        const auto &path = entry.path();
        const bool isSource = path.extension() == ".cpp" || path.extension() == ".h";
        if (!isSource || path.parent_path().filename() == "standin")
            continue;
        const std::string text = readFile(path);
        collectNames(text, added, names);
        collectNames(text, refusal, names);
    }
    return names;
}

} // namespace

// Guards against a page of settings that differs from what the program accepts.
TEST_CASE("the settings page equals the reference of the program", "[OperatorPages]")
{
    std::string expected;
    for (const SettingsKind &kind : settingsKinds()) {
        expected += "\n## " + std::string(kind.name) + "\n\n";
        expected += fieldReference(kind.reader().table());
    }
    const std::string text = page("settings.md");
    const std::size_t begin = text.find("\n## ");
    REQUIRE(begin != std::string::npos);
    REQUIRE(text.substr(begin) == expected);
}

// Guards against a reason that operators meet in logs or answers and find on no page.
TEST_CASE("each refusal and retry reason is explained", "[OperatorPages]")
{
    auto entries = entriesOf(page("refusals.md"));
    entries.merge(entriesOf(page("counters.md")));
    for (int i = 0; i < static_cast<int>(RefusalReason::Count); ++i) {
        const std::string name(toString(static_cast<RefusalReason>(i)));
        INFO(name);
        CHECK(entries.contains(name));
    }
    for (int i = 0; i < static_cast<int>(RetryReason::Count); ++i) {
        const std::string name(toString(static_cast<RetryReason>(i)));
        INFO(name);
        CHECK(entries.contains(name));
    }
}

// Guards against a decision on packets that operators meet in logs or counters and find on no page.
TEST_CASE("each steering reason is explained", "[OperatorPages]")
{
    const auto entries = entriesOf(page("refusals.md"));
    for (int i = 0; i < static_cast<int>(balance::SteeringReason::Count); ++i) {
        const std::string name(toString(static_cast<balance::SteeringReason>(i)));
        INFO(name);
        CHECK(entries.contains(name));
    }
}

// Guards against a kind of fault that writers of experiments do not find.
TEST_CASE("each kind of fault is explained", "[OperatorPages]")
{
    const std::string text = readFile(sourceDirectory / "docs/EXPERIMENTS.md");
    for (int i = 0; i < static_cast<int>(simulation::FaultKind::Count); ++i) {
        const std::string name(toString(static_cast<simulation::FaultKind>(i)));
        INFO(name);
        CHECK(text.find("\n| `" + name + "` |") != std::string::npos);
    }
}

// Guards against a counter without explanation.
TEST_CASE("each event counter is explained", "[OperatorPages]")
{
    const auto names = counterNames();
    // Each form of a name in the sources, so that the search cannot miss one of them unnoticed.
    REQUIRE(names.contains("transition_forced"));
    REQUIRE(names.contains("peer_refused_scope"));
    REQUIRE(names.contains("peer_malformed_message"));
    REQUIRE(names.contains("peer_sent_bytes_"));
    const auto entries = entriesOf(page("counters.md"));
    for (const std::string &name : names) {
        INFO(name);
        CHECK(entries.contains(name));
    }
}
