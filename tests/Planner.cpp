#include "plan/PlanPacer.h"
#include "plan/PlannerElection.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace bulrushgap;

namespace {

/** \brief Two failure domains with an instance each and a service with six upstreams. */
struct World
{
    Counters counters;
    ObjectStoreView view{counters};
    Planner planner{counters};
    PlannerInputs inputs;
    Plan plan;
    std::uint64_t revision = 0;

    World()
    {
        this->inputs.instances = {{"a", "north", {1, 1}, {1, 2}, 11, false},
                                  {"b", "south", {2, 1}, {2, 2}, 12, false}};
        this->inputs.reachableDomains = {"north", "south"};
        this->inputs.writer = 9;
        this->view.applyList("", 0, {});
        this->service("s", "9.9.9.9:1", "app=s");
        for (int i = 0; i < 6; ++i)
            this->upstream(i, "live");
        this->step();
    }

    void put(const std::string &key, const std::optional<boost::json::value> &value)
    {
        this->view.apply(key, ++this->revision, value);
        this->view.advance("", this->revision);
    }

    void service(const std::string &name, const char *address, const char *selector)
    {
        this->put("service/" + name,
                  boost::json::value{{"address", address}, {"selector", selector}});
    }

    void upstream(int i, const char *state, const char *app = "s")
    {
        this->put("upstream/u" + std::to_string(i),
                  boost::json::value{{"address", "10.0.0." + std::to_string(i) + ":1"},
                                     {"domain", i < 3 ? "north" : "south"},
                                     {"labels", {{"app", app}, {"state", state}}},
                                     {"slots", 2}});
    }

    void domain(const char *name, const char *state)
    {
        this->put("domain/" + std::string(name),
                  boost::json::value{{"labels", {{"state", state}}}});
    }

    void step() { this->plan = this->planner.next(this->view, this->plan, this->inputs); }

    void report(int i, bool ejected, std::uint8_t warmth)
    {
        const PlanUpstream *upstream = this->find(i);
        std::erase_if(this->inputs.health, [&](const UpstreamStatus &status) {
            return status.upstream == upstream->id;
        });
        this->inputs.health.push_back({this->plan.services[0].id, upstream->id, ejected, warmth});
    }

    [[nodiscard]] const PlanUpstream *find(int i) const
    {
        const auto &upstreams = this->plan.services[0].upstreams;
        const auto found
            = std::ranges::find(upstreams, "u" + std::to_string(i), &PlanUpstream::name);
        return found != upstreams.end() ? &*found : nullptr;
    }
};

} // namespace

// Guards against a cold upstream that gets full load because of one report, or never gets any.
TEST_CASE("upstreams start cold and follow reported warmth in steps", "[Planner]")
{
    World world;
    REQUIRE(world.find(0)->weight == coldWeight);
    const Plan unchanged = world.plan;
    world.step();
    REQUIRE(world.plan == unchanged);
    const auto [warmth, weights] = GENERATE(table<std::uint8_t, std::vector<int>>({
        {fullWeight, {4, 8, 16, 16}},
        {4, {4, 4, 4, 4}},
        {1, {1, 1, 1, 1}},
    }));
    world.report(0, false, warmth);
    for (const int weight : weights) {
        world.step();
        REQUIRE(world.find(0)->weight == weight);
    }
    world.report(0, true, 1);
    world.step();
    REQUIRE(world.find(0)->state == UpstreamState::Ejected);
    world.report(0, false, fullWeight);
    world.step();
    REQUIRE(world.find(0)->weight == coldWeight);
}

// Guards against health reports that take away most of a service.
TEST_CASE("at most a third of a service is ejected", "[Planner]")
{
    World world;
    for (int i = 5; i >= 2; --i) {
        world.report(i, true, 1);
        world.step();
    }
    const auto ejected = [&](int i) {
        return world.find(i)->state == UpstreamState::Ejected;
    };
    REQUIRE((ejected(5) && ejected(4) && !ejected(3) && !ejected(2)));
    REQUIRE(world.find(3)->weight > 0);
    REQUIRE(world.counters.value("ejection_limited") > 0);
    world.report(5, false, 1);
    world.step();
    REQUIRE((!ejected(5) && ejected(2) && !ejected(3)));
}

// Guards against drains and takeouts that are not in the very next plan.
TEST_CASE("labels drain and take out", "[Planner]")
{
    World world;
    const auto id = world.find(4)->id;
    world.upstream(4, "draining");
    world.upstream(1, "out");
    world.domain("north", "out");
    world.step();
    REQUIRE(world.find(4)->state == UpstreamState::Draining);
    REQUIRE(world.find(4)->weight == 0);
    REQUIRE(world.find(4)->id == id);
    REQUIRE(world.find(1) == nullptr);
    REQUIRE(world.plan.domain(world.find(0)->domain)->out);
    REQUIRE(world.find(0)->weight == 0);
    REQUIRE(world.plan.instance("a")->leaving);
    REQUIRE(world.plan.configVersion == world.revision);
    world.put("domain/north", std::nullopt);
    world.step();
    REQUIRE(world.plan.domain(world.find(0)->domain)->out);
    world.domain("north", "in");
    world.step();
    REQUIRE(world.find(0)->weight == coldWeight);
}

// Guards against flows that reach an upstream of another service, or an id that changes hands.
TEST_CASE("ids are stable and upstreams belong to one service", "[Planner]")
{
    World world;
    const Plan before = world.plan;
    world.service("all", "9.9.9.8:1", "app");
    world.service("copy", "9.9.9.9:1", "app=t");
    world.upstream(7, "live", "t");
    world.put("upstream/u0", std::nullopt);
    world.inputs.instances.push_back({"c", "east", {3, 1}, {3, 2}, 13, false});
    world.inputs.reachableDomains.emplace_back("east");
    world.step();
    REQUIRE(world.plan.services.size() == 2);
    REQUIRE(world.plan.services[0].id == before.services[0].id);
    REQUIRE(world.plan.services[0].upstreams.size() == 5);
    REQUIRE(world.plan.services[1].upstreams.size() == 1);
    REQUIRE(world.plan.services[1].upstreams[0].id == UpstreamId{7});
    REQUIRE(world.find(1)->id == UpstreamId{2});
    REQUIRE(world.plan.instance("c")->id == InstanceId{3});
    REQUIRE(world.counters.value("upstream_selected_twice") == 5);
    REQUIRE(world.counters.value("address_duplicate") == 1);

    world.plan.services[1].upstreams[0].id = UpstreamId{65535};
    world.upstream(8, "live", "t");
    world.upstream(9, "live", "t");
    world.step();
    REQUIRE(world.plan.services[1].upstreams[0].id == UpstreamId{1});
    REQUIRE(world.plan.services[1].upstreams[1].id == UpstreamId{7});
}

// Guards against recorded flows that lose their upstream because its failure domain was cut off.
TEST_CASE("cut-off domains stay listed and come back", "[Planner]")
{
    World world;
    const PlanUpstream upstream = *world.find(5);
    world.inputs.instances.pop_back();
    world.inputs.reachableDomains = {"north"};
    // A new planner that has not listed the objects must give the same result.
    const bool listed = GENERATE(true, false);
    ObjectStoreView empty(world.counters);
    const ObjectStoreView &view = listed ? world.view : empty;
    world.plan = world.planner.next(view, world.plan, world.inputs);
    REQUIRE(world.plan.instance("b")->leaving);
    REQUIRE(world.find(5)->id == upstream.id);
    REQUIRE(world.find(5)->state == UpstreamState::Draining);
    REQUIRE(world.find(0)->state == UpstreamState::Active);
    REQUIRE(world.plan.services.size() == 1);

    world.inputs.instances.push_back({"b", "south", {2, 1}, {2, 2}, 99, false});
    world.inputs.reachableDomains.emplace_back("south");
    world.plan = world.planner.next(view, world.plan, world.inputs);
    REQUIRE(world.plan.instance("b")->bootId == 99);
    REQUIRE_FALSE(world.plan.instance("b")->leaving);
    REQUIRE(world.find(5)->weight == coldWeight);

    world.inputs.instances.pop_back();
    world.plan = world.planner.next(view, world.plan, world.inputs);
    REQUIRE(world.plan.instance("b") == nullptr);
}

// Guards against flapping health or rival planners that cause one transition after the other, and
// against operators' changes that wait for the limit.
TEST_CASE("the pacer limits plans", "[Planner]")
{
    World world;
    PlanPacer pacer;
    const TimePoint start{std::chrono::seconds(100)};
    const auto at = [&](int milliseconds) {
        return start + std::chrono::milliseconds(milliseconds);
    };
    const Plan before = world.plan;
    REQUIRE_FALSE(pacer.due(before, before, at(0)));
    Plan health = before;
    health.services[0].upstreams[0].weight = 7;
    REQUIRE(pacer.due(health, before, at(0)));
    pacer.proposed(at(0));
    REQUIRE_FALSE(pacer.due(health, before, at(199)));
    REQUIRE(pacer.due(health, before, at(200)));
    Plan membership = before;
    membership.instances[0].leaving = true;
    REQUIRE(pacer.due(membership, before, at(1)));
    pacer.rivalAdopted(at(300));
    pacer.rivalAdopted(at(700));
    REQUIRE_FALSE(pacer.due(membership, before, at(1099)));
    REQUIRE(pacer.due(membership, before, at(1100)));
    Plan config = before;
    config.configVersion = 99;
    REQUIRE(pacer.due(config, before, at(701)));
}

// Guards against several planners, or a planner that is about to leave.
TEST_CASE("one live instance is the planner", "[Planner]")
{
    World world;
    const KeyedHash hash(5);
    auto &instances = world.inputs.instances;
    const std::string first = electPlanner(instances, "main", hash)->name;
    REQUIRE(isPlanner("a", instances, "main", hash) != isPlanner("b", instances, "main", hash));
    std::ranges::find(instances, first, &LiveInstance::name)->leaving = true;
    REQUIRE_FALSE(isPlanner(first, instances, "main", hash));
    REQUIRE(electPlanner({}, "main", hash) == nullptr);
}
