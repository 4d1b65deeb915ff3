#include "Baseline.h"
#include "Bench.h"
#include "FlowOwner.h"
#include "Product.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <unordered_set>

namespace bulrushgap::bench {

using namespace std::chrono_literals;

constexpr std::uint16_t instanceCount = 8;
constexpr std::uint16_t upstreamCount = 14;
constexpr std::size_t messageOverhead = 32; //!< Frame and plan id of an encoded message.
constexpr std::size_t recordBytes = 9;

/** \returns about the encoded size of \a message. */
std::size_t estimatedBytes(const PeerMessage &message)
{
    std::size_t size = messageOverhead;
    const auto addRecords = [&](const std::vector<ServiceFlows> &services) {
        for (const ServiceFlows &list : services)
            size += 8 + list.flows.size() * recordBytes;
    };
    if (const auto *digest = std::get_if<Digest>(&message))
        addRecords(digest->services);
    if (const auto *unionMessage = std::get_if<Union>(&message)) {
        addRecords(unionMessage->services);
        size += unionMessage->groups.size();
    }
    if (const auto *prepared = std::get_if<Prepared>(&message))
        size += prepared->inFlight.size() * 6;
    return size;
}

struct FlowResult
{
    std::size_t flows = 0;
    std::size_t broken = 0; //!< Flows that changed their upstream.
    double imbalance = 0;   //!< Peak over mean of flows on the upstreams that take new ones.
    double relayedPercent = 0;
    std::size_t lostPackets = 0;
    double controlBytes = 0; //!< Sent, per instance.
    double bytesPerFlow = 0; //!< Flow and bucket tables, per flow and instance.
};

using Factory = std::function<std::unique_ptr<Mechanism>(InstanceId, const KeyedHash &)>;

/** \brief Instances, links and callers in virtual time. */
class FlowRun
{
public:
    FlowRun(Factory factory, std::uint64_t seed)
        : factory(std::move(factory))
        , hash(seed)
        , random(seed)
        , plan(makePlan(instanceCount, upstreamCount))
    {
        for (const PlanInstance &instance : this->plan.instances)
            this->start(instance.id);
        for (auto &[id, node] : this->nodes)
            this->deliver(id, [&](Mechanism &mechanism, Mechanism::Outbox &out) {
                mechanism.onPlan(this->plan, this->now, out);
            });
    }

    void openFlows(std::size_t count, Duration duration)
    {
        const TimePoint begin = this->now;
        for (std::size_t i = 0; i < count; ++i) {
            this->flows.push_back({this->random() >> 12U, noUpstream, false});
            this->packet(this->flows.size() - 1);
            for (int k = 0; k < 3; ++k)
                this->packet(this->random() % this->flows.size());
            this->advanceTo(begin
                            + duration * static_cast<Duration::rep>(i + 1)
                                  / static_cast<Duration::rep>(count));
        }
    }

    void drain(std::size_t upstream)
    {
        this->plan.services.front().upstreams.at(upstream).state = UpstreamState::Draining;
    }

    void join()
    {
        const InstanceId id{static_cast<std::uint16_t>(this->nodes.size() + 1)};
        const InstanceId source{1};
        this->start(id);
        Mechanism::Outbox out;
        this->nodes.at(id).mechanism->onPlan(this->plan, this->now, out);
        this->nodes.at(id).mechanism->onJoin(*this->nodes.at(source).mechanism, this->now, out);
        this->plan.instances.push_back(
            {id, std::to_string(id.value), DomainId{1}, {}, {}, 1, false});
    }

    /** \brief Removes the last instance of the plan; it stops when the plan is in force. */
    void leave()
    {
        const InstanceId id = this->plan.instances.back().id;
        this->plan.instances.pop_back();
        this->at(this->now + 1s, [this, id] { this->nodes.at(id).alive = false; });
    }

    /** \brief Stops the last instance at once; the others notice after about a second. */
    void crash()
    {
        const InstanceId dead = this->plan.instances.back().id;
        this->nodes.at(dead).alive = false;
        this->plan.instances.pop_back();
        for (const auto &[id, node] : this->nodes)
            this->at(this->now + 900ms + this->delay(200ms), [this, dead, to = id] {
                this->deliver(to, [&](Mechanism &mechanism, Mechanism::Outbox &out) {
                    mechanism.onInstanceDead(dead, this->now, out);
                });
            });
    }

    /** \brief Sends the changed plan; it reaches the instances within 200 ms. */
    void push()
    {
        ++this->plan.id.storeVersion;
        for (const auto &[id, node] : this->nodes)
            this->at(this->now + this->delay(200ms), [this, to = id, plan = this->plan] {
                this->deliver(to, [&](Mechanism &mechanism, Mechanism::Outbox &out) {
                    mechanism.onPlan(plan, this->now, out);
                });
            });
    }

    [[nodiscard]] FlowResult result() const
    {
        FlowResult result;
        std::map<UpstreamId, std::size_t> load;
        for (const Flow &flow : this->flows) {
            result.broken += flow.broken ? 1 : 0;
            ++load[flow.upstream];
        }
        std::size_t peak = 0;
        std::size_t sum = 0;
        std::size_t count = 0;
        for (const PlanUpstream &upstream : this->plan.services.front().upstreams) {
            if (!receivesNewFlows(upstream, this->plan.domains))
                continue;
            peak = std::max(peak, load[upstream.id]);
            sum += load[upstream.id];
            ++count;
        }
        result.flows = this->flows.size();
        result.imbalance = static_cast<double>(peak * count) / static_cast<double>(sum);
        result.relayedPercent
            = 100 * static_cast<double>(this->relayed) / static_cast<double>(this->packets);
        result.lostPackets = this->lost;
        result.controlBytes
            = static_cast<double>(this->controlBytes) / static_cast<double>(this->nodes.size());
        for (const auto &[id, node] : this->nodes)
            if (!node.seen.empty())
                result.bytesPerFlow += static_cast<double>(node.mechanism->bytes())
                                       / static_cast<double>(node.seen.size())
                                       / static_cast<double>(this->nodes.size());
        return result;
    }

private:
    struct Flow
    {
        std::uint64_t hash = 0;
        UpstreamId upstream;
        bool broken = false;
    };

    struct Node
    {
        std::unique_ptr<Mechanism> mechanism;
        bool alive = true;
        std::unordered_set<std::uint64_t> seen; //!< Flows that were placed here.
    };

    using Action = std::function<void(Mechanism &, Mechanism::Outbox &)>;

    void start(InstanceId id) { this->nodes[id].mechanism = this->factory(id, this->hash); }

    void at(TimePoint time, std::function<void()> action)
    {
        this->events.emplace(time, std::move(action));
    }

    Duration delay(Duration slowest)
    {
        return Duration(500 + static_cast<Duration::rep>(this->random() % slowest.count()));
    }

    void advanceTo(TimePoint end)
    {
        while (this->now < end) {
            const TimePoint next = std::min(end, this->nextTick);
            while (!this->events.empty() && this->events.begin()->first <= next) {
                const auto event = this->events.extract(this->events.begin());
                this->now = std::max(this->now, event.key());
                event.mapped()();
            }
            this->now = next;
            if (next == this->nextTick) {
                this->nextTick += 50ms;
                for (const auto &[id, node] : this->nodes)
                    this->deliver(id, [&](Mechanism &mechanism, Mechanism::Outbox &out) {
                        mechanism.tick(this->now, out);
                    });
            }
        }
    }

    void deliver(InstanceId id, const Action &action)
    {
        Node &node = this->nodes.at(id);
        if (!node.alive)
            return;
        Mechanism::Outbox out;
        action(*node.mechanism, out);
        for (OutboundMessage &message : out) {
            this->controlBytes += estimatedBytes(message.message);
            TimePoint &last = this->lastDelivery[{id, message.to}];
            last = std::max(last, this->now + this->delay(5ms));
            if (this->nodes.contains(message.to))
                this->at(last, [this, id, sent = std::move(message)] {
                    this->deliver(sent.to, [&](Mechanism &mechanism, Mechanism::Outbox &next) {
                        mechanism.onMessage(id, sent.message, this->now, next);
                    });
                });
        }
    }

    void packet(std::size_t flow)
    {
        std::vector<InstanceId> living;
        for (const auto &[id, node] : this->nodes)
            if (node.alive)
                living.push_back(id);
        ++this->packets;
        this->arrive(living[this->random() % living.size()], flow, 0);
    }

    void arrive(InstanceId id, std::size_t index, int hops)
    {
        Node &node = this->nodes.at(id);
        Flow &flow = this->flows[index];
        if (!node.alive) {
            ++this->lost;
            return;
        }
        const FlowDecision decision = node.mechanism->route(flow.hash, this->now, hops > 0);
        const auto *relay = std::get_if<ToArbiter>(&decision);
        if (const auto *target = std::get_if<ToUpstream>(&decision)) {
            node.seen.insert(flow.hash);
            flow.broken
                = flow.broken || (flow.upstream != noUpstream && flow.upstream != target->upstream);
            flow.upstream = target->upstream;
        } else if (relay != nullptr && hops < maximalRelayHops) {
            ++this->relayed;
            this->at(this->now + 500us, [this, to = relay->instance, index, hops] {
                this->arrive(to, index, hops + 1);
            });
        } else {
            ++this->lost;
        }
    }

    Factory factory;
    KeyedHash hash;
    Random random;
    Plan plan;
    TimePoint now = TimePoint(1h);
    TimePoint nextTick = TimePoint(1h);
    std::multimap<TimePoint, std::function<void()>> events;
    std::map<InstanceId, Node> nodes;
    std::map<std::pair<InstanceId, InstanceId>, TimePoint> lastDelivery;
    std::vector<Flow> flows;
    std::size_t packets = 0;
    std::size_t relayed = 0;
    std::size_t lost = 0;
    std::size_t controlBytes = 0;
};

struct Scenario
{
    std::string_view name;
    std::function<void(FlowRun &)> change;
};

/** \returns what happens to a cluster that holds most of its flows; ends with a new plan. */
std::vector<Scenario> scenarios()
{
    return {
        {"drain",
         [](FlowRun &run) {
             run.drain(0);
         }},
        {"join",
         [](FlowRun &run) {
             run.join();
         }},
        {"leave",
         [](FlowRun &run) {
             run.leave();
         }},
        {"drain+join",
         [](FlowRun &run) {
             run.drain(0);
             run.join();
         }},
        {"crash",
         [](FlowRun &run) {
             run.crash();
             run.openFlows(2'000, 1100ms);
         }},
        {"drain+crash",
         [](FlowRun &run) {
             run.drain(0);
             run.push();
             run.openFlows(100, 50ms);
             run.crash();
             run.openFlows(2'000, 1100ms);
         }},
    };
}

std::vector<std::pair<std::string_view, Factory>> mechanisms()
{
    return {
        {"baseline",
         [](InstanceId /*self*/, const KeyedHash &hash) {
             return std::make_unique<Baseline>(hash);
         }},
        {"owner",
         [](InstanceId self, const KeyedHash &hash) {
             return std::make_unique<FlowOwner>(self, hash);
         }},
        {"product",
         [](InstanceId self, const KeyedHash &hash) {
             return std::make_unique<Product>(self, hash);
         }},
    };
}

FlowResult runScenario(const Scenario &scenario, const Factory &factory, std::uint64_t seed,
                       std::size_t flows)
{
    FlowRun run(factory, seed);
    run.openFlows(flows - flows / 4, 20s);
    scenario.change(run);
    run.push();
    run.openFlows(flows / 4, 5s);
    return run.result();
}

void printRow(std::string_view scenario, std::string_view mechanism, const FlowResult &result)
{
    std::cout << std::left << std::setw(12) << scenario << std::setw(10) << mechanism << std::right
              << std::fixed << std::setw(7) << result.flows << std::setw(8) << result.broken
              << std::setprecision(3) << std::setw(10) << result.imbalance << std::setprecision(1)
              << std::setw(9) << result.relayedPercent << std::setw(6) << result.lostPackets
              << std::setprecision(0) << std::setw(14) << result.controlBytes
              << std::setprecision(1) << std::setw(11) << result.bytesPerFlow << '\n';
}

boost::json::object toJson(std::string_view scenario, std::string_view mechanism,
                           const FlowResult &result)
{
    return {{"scenario", scenario},
            {"mechanism", mechanism},
            {"flows", result.flows},
            {"broken", result.broken},
            {"imbalance", result.imbalance},
            {"relayedPercent", result.relayedPercent},
            {"lostPackets", result.lostPackets},
            {"controlBytesPerInstance", result.controlBytes},
            {"bytesPerFlow", result.bytesPerFlow}};
}

int runFlow(std::span<const std::string> arguments)
{
    namespace options = boost::program_options;
    std::uint64_t seed = 1;
    std::size_t flows = 28'000;
    options::options_description description("Options of flow");
    description.add_options()("help", "print this text")("seed", options::value(&seed),
                                                         "seed of hashes, delays and spraying")(
        "flows", options::value(&flows), "flows opened in one run")("json", "print JSON");
    options::variables_map values;
    options::store(options::command_line_parser({arguments.begin(), arguments.end()})
                       .options(description)
                       .run(),
                   values);
    options::notify(values);
    if (values.contains("help")) {
        std::cout << description;
        return 0;
    }
    boost::json::array rows;
    if (!values.contains("json"))
        std::cout << "scenario    mechanism   flows  broken imbalance relayed%  lost "
                     "control-bytes bytes/flow\n";
    for (const Scenario &scenario : scenarios()) {
        for (const auto &[name, factory] : mechanisms()) {
            const FlowResult result = runScenario(scenario, factory, seed, flows);
            if (values.contains("json"))
                rows.push_back(toJson(scenario.name, name, result));
            else
                printRow(scenario.name, name, result);
        }
    }
    if (values.contains("json"))
        std::cout << boost::json::object{{"bench", "flow"}, {"seed", seed}, {"rows", rows}} << '\n';
    return 0;
}

} // namespace bulrushgap::bench
