#include "plan/PlanWriter.h"

#include "plan/PlanJson.h"
#include "plan/PlanPacer.h"

#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace bulrushgap;

namespace {

TimePoint at(int milliseconds)
{
    return TimePoint{std::chrono::milliseconds(milliseconds)};
}

Plan planWith(std::uint64_t configVersion)
{
    Plan plan;
    plan.configVersion = configVersion;
    plan.instances = {{InstanceId{1}, "i", {}, {}, {}, 0, false}};
    return plan;
}

template <typename Action>
const Action *only(const PlanActions &actions)
{
    return actions.size() == 1 ? std::get_if<Action>(&actions.front()) : nullptr;
}

ReadResult readResult(const boost::json::value &value, std::uint64_t version)
{
    const StoredPlan stored = planFromJson(value, version).value();
    return {ReadResult::Kind::Found, version, stored.plan, stored.writeId};
}

using WriteKind = WriteResult::Kind;

/** \brief A writer whose first update, for configuration 5 on an empty store, is outstanding. */
struct Started
{
    Counters counters;
    Random random{1};
    PlanWriter writer{{.writer = 7}, counters, random};
    WritePlan write;

    explicit Started(std::uint64_t configVersion = 5)
    {
        this->write = *only<WritePlan>(this->writer.propose(planWith(configVersion), at(0)));
    }
};

} // namespace

// Guards against an update that is repeated although it took effect, or given up although not.
TEST_CASE("an update is resolved by its answer or by reading back", "[PlanWriter]")
{
    const auto [kind, inStore, counter] = GENERATE(table<WriteKind, bool, std::string>({
        {WriteKind::LostAnswer, true, "plan_write_lost_answer"},
        {WriteKind::LostAnswer, false, "plan_write_lost_answer"},
        {WriteKind::Unavailable, false, "plan_write_unavailable"},
        {WriteKind::TooManyRequests, false, "plan_write_rate_limited"},
    }));
    Started s;
    REQUIRE(s.write.ifVersion == 0);
    REQUIRE(s.writer.onWriteResult(s.write.writeId, {kind, 0}, at(1)).empty());
    REQUIRE(s.counters.value(counter) == 1);
    PlanActions actions = s.writer.tick(at(60));
    if (kind == WriteKind::LostAnswer) {
        REQUIRE(only<ReadPlan>(actions));
        actions = s.writer.onReadResult(inStore ? readResult(s.write.value, 3)
                                                : ReadResult{ReadResult::Kind::Missing, 0, {}, 0},
                                        at(61));
    }
    if (inStore) {
        REQUIRE(only<AdoptPlan>(actions)->plan.id == PlanId{3, 0, 7});
        REQUIRE(s.counters.value("plan_write_recovered") == 1);
        return;
    }
    REQUIRE(only<WritePlan>(actions)->writeId == s.write.writeId);
    const auto adopted = s.writer.onWriteResult(s.write.writeId, {WriteKind::Ok, 4}, at(70));
    REQUIRE(only<AdoptPlan>(adopted)->plan.id == PlanId{4, 0, 7});
    REQUIRE(only<WritePlan>(s.writer.propose(planWith(6), at(71)))->ifVersion == 4);
}

// Guards against a paused writer that overwrites a rival's plan after it resumes.
TEST_CASE("a rival's plan wins by version", "[PlanWriter]")
{
    Started s;
    REQUIRE(only<ReadPlan>(
        s.writer.onWriteResult(s.write.writeId, {WriteKind::Conflict, 9}, at(5000))));
    Plan rival = planWith(8);
    rival.id.writer = 99;
    const auto actions = s.writer.onReadResult(readResult(planToJson(rival, 1), 9), at(5001));
    REQUIRE(only<AdoptPlan>(actions)->rival);
    REQUIRE(s.writer.base().id == PlanId{9, 0, 99});
    REQUIRE(s.writer.propose(planWith(7), at(5002)).empty());
    REQUIRE(s.counters.value("invariant_config_reverted") == 1);
    REQUIRE(s.writer.onWriteResult(s.write.writeId, {WriteKind::Ok, 4}, at(5003)).empty());
    REQUIRE(s.writer.base().id.storeVersion == 9);
}

// Guards against a long outage that stops all changes, and against an outage's end that brings back
// the content from before it.
TEST_CASE("overlays replace updates during an outage and are stored after it", "[PlanWriter]")
{
    Started s(0);
    REQUIRE(s.writer.tick(at(0)).empty());
    REQUIRE(s.writer.tick(at(600)).empty());
    REQUIRE(only<ReadPlan>(s.writer.tick(at(900))));
    REQUIRE(only<PublishOverlay>(s.writer.tick(at(1000)))->plan.id == PlanId{0, 1, 7});
    Plan changed = s.writer.base();
    changed.instances[0].leaving = true;
    PlanActions actions = s.writer.propose(changed, at(1001));
    REQUIRE(only<PublishOverlay>(actions)->plan.id == PlanId{0, 2, 7});
    actions = s.writer.onReadResult({ReadResult::Kind::Missing, 0, {}, 0}, at(1100));
    REQUIRE(only<WritePlan>(actions));
    changed.id = {2, 0, 7};
    const WritePlan stored = *only<WritePlan>(actions);
    REQUIRE(planFromJson(stored.value, 2).value().plan == changed);
    actions = s.writer.onWriteResult(stored.writeId, {WriteKind::Ok, 2}, at(1101));
    REQUIRE(only<AdoptPlan>(actions)->plan == changed);
    REQUIRE_FALSE(s.writer.unsaved());
}

namespace {

/** \brief Store with one revision counter, conditional updates and a history of plans. */
struct FakeStore
{
    struct Object
    {
        std::uint64_t version = 0;
        boost::json::value value;
    };

    std::map<std::string, Object> objects;
    std::map<std::uint64_t, StoredPlan> plans;
    std::uint64_t revision = 0;

    std::optional<std::uint64_t> put(const std::string &key, const boost::json::value &value,
                                     std::uint64_t ifVersion)
    {
        if (this->objects[key].version != ifVersion)
            return std::nullopt;
        this->objects[key] = {++this->revision, value};
        if (key == "plan/main")
            this->plans[this->revision] = planFromJson(value, this->revision).value();
        return this->revision;
    }
};

/** \brief Three planners that all believe to be the only one, a faulty store and two operators. */
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : random(seed)
    {
        for (std::uint64_t i = 0; i < 3; ++i)
            this->nodes.push_back(std::make_unique<Node>(i + 1, this->random));
        this->store.put(
            "upstream/shared",
            boost::json::parse(R"({"address":"1.1.1.1:1","domain":"d","slots":1,"labels":{}})"), 0);
    }

    void run(int end, bool faults)
    {
        for (; this->now < end; this->now += 10) {
            if (faults) {
                this->changeFaults();
                this->operate();
            } else {
                this->outageEnd = 0;
            }
            this->deliver();
            for (auto &node : this->nodes) {
                if (faults && this->chance(300))
                    node->pauseEnd = this->now + this->between(100, 4000);
                if (this->now >= node->pauseEnd)
                    this->step(*node, faults);
            }
        }
    }

    struct Node
    {
        Counters counters;
        ObjectStoreView view{counters};
        Planner planner{counters};
        PlanPacer pacer;
        PlanWriter writer;
        std::vector<Plan> adopted;
        int pauseEnd = 0;
        std::uint64_t id;

        Node(std::uint64_t id, Random &random)
            : writer({.writer = id}, this->counters, random)
            , id(id)
        {}
    };

    FakeStore store;
    std::vector<std::unique_ptr<Node>> nodes;
    unsigned operations = 0;

private:
    int between(int low, int high)
    {
        return std::uniform_int_distribution(low, high)(this->random);
    }
    bool chance(int oneIn) { return this->between(1, oneIn) == 1; }

    void changeFaults()
    {
        if (this->chance(400))
            this->outageEnd = this->now + this->between(100, 4000);
        if (this->chance(200))
            this->latency = this->chance(3) ? 900 : 20;
        if (this->chance(50))
            this->warmth = static_cast<std::uint8_t>(this->between(1, fullWeight));
    }

    /** \brief Each operator adds services and, in a race, a label of the shared upstream. */
    void operate()
    {
        if (this->chance(40)) {
            const auto number = std::to_string(++this->operations);
            this->store.put("service/s" + number,
                            {{"address", "9.9.9.9:" + number}, {"selector", "app=s" + number}}, 0);
        }
        if (this->now == 5000)
            this->setLabel("app", "s1");
        if (this->now == 5010)
            this->setLabel("state", "draining");
    }

    void setLabel(const std::string &key, const std::string &value)
    {
        FakeStore::Object read = this->store.objects["upstream/shared"];
        read.value.as_object()["labels"].as_object()[key] = value;
        this->later(50, [this, key, value, read] {
            if (!this->store.put("upstream/shared", read.value, read.version))
                this->setLabel(key, value);
        });
    }

    void later(int delay, std::function<void()> event)
    {
        this->events.emplace(this->now + delay, std::move(event));
    }

    void deliver()
    {
        while (!this->events.empty() && this->events.begin()->first <= this->now) {
            const auto event = this->events.extract(this->events.begin());
            event.mapped()();
        }
    }

    /** \brief Runs \a event at a node once it is not paused. */
    void answer(Node &node, std::function<PlanActions(TimePoint)> event)
    {
        this->later(this->between(0, this->latency), [this, &node, event] {
            if (this->now < node.pauseEnd)
                this->later(node.pauseEnd - this->now,
                            [this, &node, event] { this->perform(node, event(at(this->now))); });
            else
                this->perform(node, event(at(this->now)));
        });
    }

    void perform(Node &node, const PlanActions &actions)
    {
        for (const PlanAction &action : actions) {
            if (const auto *adopt = std::get_if<AdoptPlan>(&action)) {
                node.adopted.push_back(adopt->plan);
                if (adopt->rival)
                    node.pacer.rivalAdopted(at(this->now));
            } else if (const auto *overlay = std::get_if<PublishOverlay>(&action)) {
                node.adopted.push_back(overlay->plan);
                for (auto &other : this->nodes) {
                    if (other.get() != &node && !this->chance(4))
                        this->answer(*other, [&other, plan = overlay->plan](TimePoint) {
                            return other->writer.observe(plan);
                        });
                }
            } else if (const auto *write = std::get_if<WritePlan>(&action)) {
                this->later(this->between(0, this->latency),
                            [this, &node, request = *write] { this->takeWrite(node, request); });
            } else {
                this->later(this->between(0, this->latency),
                            [this, &node] { this->takeRead(node); });
            }
        }
    }

    void takeWrite(Node &node, const WritePlan &request)
    {
        WriteResult result{WriteKind::Unavailable, 0};
        if (this->now >= this->outageEnd) {
            const auto version = this->store.put("plan/main", request.value, request.ifVersion);
            result = {version ? WriteKind::Ok : WriteKind::Conflict,
                      this->store.objects["plan/main"].version};
            if (this->chance(5))
                result.kind = WriteKind::LostAnswer;
        }
        if (!this->chance(8)) // Otherwise the answer never comes.
            this->answer(node, [&node, id = request.writeId, result](TimePoint time) {
                return node.writer.onWriteResult(id, result, time);
            });
    }

    void takeRead(Node &node)
    {
        ReadResult result;
        if (this->now >= this->outageEnd) {
            result.kind = ReadResult::Kind::Missing;
            const auto &object = this->store.objects["plan/main"];
            if (object.version > 0)
                result = readResult(object.value, object.version);
        }
        this->answer(node, [&node, result](TimePoint time) {
            return node.writer.onReadResult(result, time);
        });
    }

    void step(Node &node, bool faults)
    {
        const TimePoint time = at(this->now);
        this->perform(node, node.writer.tick(time));
        if (this->now >= this->outageEnd && this->chance(faults ? 10 : 1)
            && node.view.revision() < this->store.revision) {
            std::vector<ListedObject> list;
            for (const auto &[key, object] : this->store.objects)
                list.push_back({key, object.version, object.value});
            node.view.applyList("", this->store.revision, list);
        }
        PlannerInputs inputs;
        inputs.writer = node.id;
        inputs.storeWritable = !node.writer.inOutage(time);
        inputs.instances = {{"i", "d", {}, {}, 1, this->warmth % 2 == 0}};
        inputs.reachableDomains = {"d"};
        const Plan next = node.planner.next(node.view, node.writer.base(), inputs);
        const bool due = node.pacer.due(next, node.writer.base(), time) || node.writer.unsaved();
        if (!node.view.listed() || !due || !node.writer.ready(time))
            return;
        node.pacer.proposed(time);
        this->perform(node, node.writer.propose(next, time));
    }

    Random random;
    std::multimap<int, std::function<void()>> events;
    int now = 0;
    int outageEnd = 0;
    int latency = 20;
    std::uint8_t warmth = fullWeight;
};

} // namespace

// Guards against accepted plans that revert, get lost or are adopted in another order than the
// store's, whatever fails, and against an operator's change that a rival planner undoes.
TEST_CASE("plans of racing planners follow the store's order", "[PlanWriter]")
{
    const int seed = GENERATE(range(1, 61));
    CAPTURE(seed);
    Simulation simulation(static_cast<std::uint64_t>(seed));
    simulation.run(15000, true);
    simulation.run(30000, false);

    const FakeStore &store = simulation.store;
    std::uint64_t configVersion = 0;
    std::size_t services = 0;
    for (const auto &[version, stored] : store.plans) {
        REQUIRE(stored.plan.configVersion >= configVersion);
        REQUIRE(stored.plan.services.size() >= services);
        configVersion = stored.plan.configVersion;
        services = stored.plan.services.size();
    }
    REQUIRE(services == simulation.operations);
    REQUIRE(store.plans.rbegin()->second.plan.services.front().upstreams.front().state
            == UpstreamState::Draining);
    for (const auto &node : simulation.nodes) {
        PlanId previous;
        for (const Plan &plan : node->adopted) {
            REQUIRE(plan.id > previous);
            previous = plan.id;
            if (plan.id.overlay == 0)
                REQUIRE(plan == store.plans.at(plan.id.storeVersion).plan);
        }
        REQUIRE(node->counters.value("invariant_config_reverted") == 0);
        REQUIRE(node->counters.value("invariant_plan_id_reverted") == 0);
    }
    REQUIRE(simulation.nodes[0]->writer.base().configVersion == configVersion);
}
