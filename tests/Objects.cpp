#include "plan/ObjectStoreView.h"
#include "plan/PlanJson.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace bulrushgap;

namespace {

template <typename Object>
std::vector<std::string> faultPaths(const std::string &text)
{
    const auto value = boost::json::parse(text);
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::vector<std::string>> {
            BOOST_LEAF_CHECK(Object::fromJson("name", value));
            return std::vector<std::string>{};
        },
        [](const ObjectFaults &error) {
            std::vector<std::string> paths;
            for (const ObjectFault &fault : error.faults)
                paths.push_back(fault.path);
            return paths;
        },
        []() { return std::vector<std::string>{"unexpected error"}; });
}

using Paths = std::vector<std::string>;

const std::string goodUpstream
    = R"({"address":"10.0.0.1:5","domain":"yala","labels":{"app":"x"},"slots":2,"connections":9})";

} // namespace

// Guards against operators who correct one fault after the other because only the first is told.
TEST_CASE("every fault of an object is reported with its path", "[Objects]")
{
    const auto [text, paths] = GENERATE(table<std::string, Paths>({
        {goodUpstream, {}},
        {R"([])", {"$"}},
        {R"({})", {"$.address", "$.domain", "$.slots"}},
        {R"({"address":"1.2.3","domain":"","labels":{"a":1,"b c":"d"},"slots":70000})",
         {"$.address", "$.domain", "$.labels.a", "$.labels.b c", "$.slots"}},
        {R"({"address":"1.2.3.4:5","domain":"d","labels":[],"slots":-1,"connections":0})",
         {"$.labels", "$.slots", "$.connections"}},
    }));
    CAPTURE(text);
    REQUIRE(faultPaths<UpstreamObject>(text) == paths);
}

TEST_CASE("services, failure domains and instances report faults", "[Objects]")
{
    REQUIRE(faultPaths<ServiceObject>(R"({"address":1,"selector":"a=,b"})")
            == Paths{"$.address", "$.selector"});
    REQUIRE(faultPaths<DomainObject>(R"({"labels":{"state":7}})") == Paths{"$.labels.state"});
    REQUIRE(faultPaths<InstanceObject>(R"({"domain":"d","peerAddress":"1.1.1.1:1",
            "dataAddress":"1.1.1.1:2","bootId":1.5,"state":"gone"})")
            == Paths{"$.bootId", "$.state"});
}

// Guards against an older version that deletes what a newer version wrote.
TEST_CASE("unknown members survive decoding and encoding", "[Objects]")
{
    auto value = boost::json::parse(goodUpstream);
    value.as_object()["newer"] = {{"deep", {1, 2}}};
    const auto object = UpstreamObject::fromJson("name", value).value();
    REQUIRE(object.unknown.size() == 1);
    REQUIRE(UpstreamObject::fromJson("name", object.toJson()).value() == object);
    REQUIRE(object.toJson() == value);
}

// Guards against plans that change on their way through the store.
TEST_CASE("stored plans are read back as written", "[Objects]")
{
    Plan plan;
    plan.id = {0, 0, 18446744073709551615ULL};
    plan.configVersion = 12;
    plan.domains = {{DomainId{1}, "yala", true}};
    plan.instances = {{InstanceId{3}, "i", DomainId{1}, {1, 2}, {3, 4}, 1ULL << 63, true}};
    plan.services = {{ServiceId{2}, "s", {5, 6}, {}}};
    plan.services[0].upstreams
        = {{UpstreamId{65535}, "u", {7, 8}, DomainId{1}, 3, 9, UpstreamState::Ejected}};
    const auto text = boost::json::serialize(planToJson(plan, 77));
    const auto stored = planFromJson(boost::json::parse(text), 40).value();
    plan.id.storeVersion = 40;
    REQUIRE(stored == StoredPlan{plan, 77});
}

// Guards against a malformed write that removes a working object, and against lists and watch
// events that overlap and bring back old state.
TEST_CASE("the view keeps the last good value and the newest version", "[Objects]")
{
    Counters counters;
    ObjectStoreView view(counters);
    const auto domain = [](const char *state) {
        return boost::json::value{{"labels", {{"state", state}}}};
    };
    using Outcome = ObjectStoreView::Outcome;
    REQUIRE(view.apply("domain/yala", 5, domain("in")) == Outcome::Changed);
    REQUIRE(view.apply("domain/yala", 9, boost::json::value("text")) == Outcome::Invalid);
    REQUIRE(view.apply("domain/yala", 7, domain("out")) == Outcome::Stale);
    REQUIRE(view.apply("plan/main", 10, domain("out")) == Outcome::Ignored);
    REQUIRE(view.domain("yala")->labels.has("state", "in"));
    REQUIRE(view.invalid().front().key == "domain/yala");
    REQUIRE(view.configVersion() == 5);
    REQUIRE(counters.value("object_invalid") == 1);

    REQUIRE(view.apply("domain/yala", 12, std::nullopt) == Outcome::Changed);
    REQUIRE(view.apply("domain/yala", 11, domain("in")) == Outcome::Stale);
    REQUIRE(view.domain("yala") == nullptr);
    REQUIRE_FALSE(view.listed());
    REQUIRE(view.apply("domain/bog", 21, domain("in")) == Outcome::Changed);
    view.applyList("", 20, std::vector<ListedObject>{{"domain/pattani", 15, domain("in")}});
    REQUIRE(view.listed());
    REQUIRE(view.domains().size() == 2);
    REQUIRE(view.revision() == 20);
}
