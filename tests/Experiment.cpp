#include "simulation/Experiment.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <filesystem>
#include <functional>
#include <string>
#include <vector>

using namespace bulrushgap;
using simulation::Experiment;

namespace {

boost::json::object validExperiment()
{
    return boost::json::parse(R"({
      "instanceLinks": [{"instances": 3, "mbps": 10}],
      "services": [{"name": "feed"}],
      "classes": [{"name": "read", "route": "198.18.0.1:80", "service": "feed"}],
      "faults": [{"kind": "domain-cut", "atMs": 3000}]})")
        .as_object();
}

std::vector<Fault> faultsOf(const std::function<boost::leaf::result<Experiment>()> &read)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<Fault>> {
            BOOST_LEAF_CHECK(read());
            return std::vector<Fault>{};
        },
        [](const SettingsFaults &error) { return error.faults; },
        [] {
            return std::vector<Fault>{Fault{"", "", "unknown error"}};
        });
}

std::vector<Fault> faultsOf(const boost::json::object &experiment)
{
    const std::string text = boost::json::serialize(experiment);
    return faultsOf([&] { return Experiment::parse(text); });
}

} // namespace

TEST_CASE("A valid experiment is read", "[Experiment]")
{
    CHECK(faultsOf(validExperiment()).empty());
}

// Guards against experiments that play something else than their file says.
TEST_CASE("Faults of an experiment are named", "[Experiment]")
{
    struct Case
    {
        std::string list;
        std::string member;
        boost::json::value value;
        std::string path;
    };
    const auto each = GENERATE(values<Case>({
        {"instanceLinks", "mbps", 0, "instanceLinks[0].mbps"},
        {"instanceLinks", "instances", 4, "instanceLinks"},
        {"services", "slots", 0, "services[0].slots"},
        {"services", "connectionLimit", -1, "services[0].connectionLimit"},
        {"services", "name", nullptr, "services[0].name"},
        {"classes", "route", "198.18.0.1", "classes[0].route"},
        {"classes", "kind", "sometimes", "classes[0].kind"},
        {"classes", "service", "nowhere", "classes"},
        {"faults", "kind", "earthquake", "faults[0].kind"},
        {"faults", "atMs", "soon", "faults[0].atMs"},
        {"faults", "share", 2, "faults[0].share"},
        {"faults", "domain", "nowhere", "faults"},
    }));
    boost::json::object experiment = validExperiment();
    experiment[each.list].as_array()[0].as_object()[each.member] = each.value;
    const std::vector<Fault> faults = faultsOf(experiment);
    REQUIRE(faults.size() == 1);
    CHECK(faults[0].path == each.path);
}

// Guards against experiments of the repository that no longer read.
TEST_CASE("The experiments of the repository are valid", "[Experiment]")
{
    const std::filesystem::path folder
        = std::filesystem::path(BULRUSHGAP_SOURCE_DIR) / "deploy" / "experiments";
    unsigned files = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        INFO(entry.path().filename().string());
        CHECK(faultsOf([&] { return Experiment::load(entry.path().string()); }).empty());
        ++files;
    }
    CHECK(files > 0);
}
