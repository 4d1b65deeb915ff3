#include "service/BalancerSettings.h"

#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

using namespace bulrushgap;

namespace {

using Texts = std::vector<std::string>;

std::string readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    REQUIRE(file);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos;
         at = text.find(from, at + to.size()))
        text.replace(at, from.size(), to);
}

/** \brief Replaces the list section of \a name; a comma stands after each entry but the last. */
void renderList(std::string &text, const std::string &name, const Texts &entries)
{
    const std::string open = "{{#" + name + "}}";
    const std::string close = "{{/" + name + "}}";
    const std::size_t begin = text.find(open);
    const std::size_t end = text.find(close);
    REQUIRE(begin != std::string::npos);
    REQUIRE(end != std::string::npos);
    const std::string section = text.substr(begin + open.size(), end - begin - open.size());
    std::string rendered;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        std::string entry = section;
        replaceAll(entry, "{{.}}", entries[i]);
        replaceAll(entry, "{{,}}", i + 1 < entries.size() ? "," : "");
        rendered += entry;
    }
    text.replace(begin, end + close.size() - begin, rendered);
}

/** \returns the settings file that the platform makes of deploy/balancer.json. */
std::string renderTemplate(const Texts &seeds, const Texts &contracts)
{
    std::string text
        = readFile(std::filesystem::path(BULRUSHGAP_SOURCE_DIR) / "deploy/balancer.json");
    renderList(text, "seeds", seeds);
    renderList(text, "contracts", contracts);
    const std::map<std::string, std::string> fields{
        {"node_name", "node-1"},
        {"zone", "yala"},
        {"listen_addrs.datagram_addr", "10.0.0.1:4000"},
        {"listen_addrs.ready", "10.0.0.1:4001"},
        {"listen_addrs.control_plane", "10.0.0.1:4002"},
        {"limits.link_mbps", "100"},
        {"bootstrap", "false"},
        {"platform.addr", "10.0.9.1:7000"},
    };
    for (const auto &[name, value] : fields)
        replaceAll(text, "{{" + name + "}}", value);
    return text;
}

/** \returns the settings, or nothing if \a text is invalid. */
std::optional<BalancerSettings> settingsOf(const std::string &text)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<BalancerSettings>> {
            BOOST_LEAF_AUTO(settings, BalancerSettings::parse(text));
            return settings;
        },
        [](const SettingsFaults &error) -> std::optional<BalancerSettings> {
            for (const Fault &fault : error.faults)
                UNSCOPED_INFO(fault.toString());
            return std::nullopt;
        },
        []() -> std::optional<BalancerSettings> { return std::nullopt; });
}

} // namespace

// Guards against a template whose rendered file the program refuses, and against the ejection of
// upstreams where the platform does not require it.
TEST_CASE("the rendered template of the deployment is valid", "[BalancerSettings]")
{
    const auto [seeds, contracts, ejection] = GENERATE(table<Texts, Texts, bool>({
        {{}, {}, false},
        {{"10.0.0.2:4002"}, {"health"}, true},
        {{"10.0.0.2:4002", "10.0.0.3:4002"}, {"flow", "something new", "health"}, true},
        {{}, {"flow", "healthy"}, false},
    }));
    const std::string text = renderTemplate(seeds, contracts);
    INFO(text);
    CHECK(text.find("{{") == std::string::npos);
    const auto settings = settingsOf(text);
    REQUIRE(settings);
    CHECK(settings->ejection == ejection);
    CHECK(settings->requirements == contracts);
    CHECK(settings->seeds.size() == seeds.size());
}

// Guards against requirements of another type that are taken for an empty list.
TEST_CASE("requirements are a list of texts", "[BalancerSettings]")
{
    const auto [value, valid] = GENERATE(table<std::string, bool>({
        {R"([])", true},
        {R"(["", "a b"])", true},
        {R"("health")", false},
        {R"([1])", false},
        {R"([null])", false},
        {"[\"" + std::string(129, 'a') + "\"]", false},
    }));
    std::string text = renderTemplate({}, {});
    replaceAll(text, R"("requirements": [])", R"("requirements": )" + value);
    INFO(text);
    CHECK(settingsOf(text).has_value() == valid);
}

// Guards against a setting without effect.
TEST_CASE("ejection can be enabled by its own setting", "[BalancerSettings]")
{
    const bool enabled = GENERATE(true, false);
    std::string text = renderTemplate({}, {"flow"});
    replaceAll(text, R"("seeds")",
               std::string(R"("ejection": {"enabled": )") + (enabled ? "true" : "false")
                   + R"(}, "seeds")");
    const auto settings = settingsOf(text);
    REQUIRE(settings);
    CHECK(settings->ejection == enabled);
}
