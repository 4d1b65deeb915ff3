#include "readiness.h"
#include "simulation/EventLoop.h"
#include "simulation/Fabric.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using namespace std::chrono_literals;

namespace {

constexpr Duration connectTime = 1ms;
constexpr Duration connectTimeout = 110ms;
constexpr std::size_t instancesPerDomain = 3;

Member memberOf(const std::string &domain, std::uint32_t number)
{
    return {domain + std::to_string(number),
            domain,
            {static_cast<std::uint32_t>(domain.front()) * 256 + number, 9'000},
            80};
}

std::vector<Member> membersOf(const std::vector<std::string> &domains)
{
    std::vector<Member> members;
    for (const std::string &domain : domains) {
        for (std::uint32_t number = 1; number <= instancesPerDomain; ++number)
            members.push_back(memberOf(domain, number));
    }
    return members;
}

/** \returns the value of a field of a log line. */
std::string fieldOf(const std::string &line, const std::string &key)
{
    const std::size_t begin = line.find(' ' + key + '=');
    if (begin == std::string::npos)
        return {};
    const std::size_t value = begin + key.size() + 2;
    return line.substr(value, line.find_first_of(" \n", value) - value);
}

/** \brief One instance of domain "a" with chosen facts and links, in virtual time. */
class Instance
{
public:
    explicit Instance(simulation::EventLoop &loop, std::uint32_t number = 1,
                      const std::string &domain = "a",
                      const std::vector<std::string> &domains = {"a", "b", "c"})
        : others(membersOf(domains))
        , loop(loop)
        , loopScheduler(loop.scheduler())
        , scheduler([this] { return this->loop.now(); },
                    [this](Duration delay, Scheduler::Handler handler) -> Scheduler::Timer {
                        return this->loopScheduler.after(
                            delay, [this, handler = std::move(handler)] { this->run(handler); });
                    })
        , log(this->logOptions())
        , readiness(this->scheduler, memberOf(domain, number), this->counters, this->log,
                    {[this](Endpoint peer, const DomainReadinessHooks::ConnectHandler &handler) {
                         this->connect(peer, handler);
                     },
                     [this] { return this->facts; },
                     [this] {
                         return std::span<const Member>(this->others);
                     }})
    {
        std::erase_if(this->others, [&](const Member &member) {
            return member.name == memberOf(domain, number).name;
        });
    }

    /** \brief Becomes ready and passes the time in which it may not withdraw. */
    void startAndSettle()
    {
        this->readiness.start();
        this->loop.runFor(3s);
    }

    void setSupply(DomainSupply supply)
    {
        this->facts.supply = supply;
        this->readiness.onChange();
    }

    /** \brief Cuts the domain off; an upstream of another domain turns suspect 120 ms later. */
    void cut()
    {
        this->reachable = false;
        this->loop.after(120ms, [this] { this->readiness.onSuspicion(); });
    }

    void heal() { this->reachable = true; }

    void pause(Duration duration) { this->pausedUntil = this->loop.now() + duration; }

    /** \brief Upstreams of other domains answer every 20 ms while they are reachable. */
    void answerRequests()
    {
        this->loop.after(20ms, [this] {
            if (this->reachable)
                this->facts.lastAnswerElsewhere = this->loop.now();
            this->answerRequests();
        });
    }

    bool reachable = true;
    ReadinessFacts facts{};
    std::vector<Member> others;
    std::vector<std::string> events; //!< Outcomes and reasons in the order of the log.
    std::vector<TimePoint> eventTimes;
    std::vector<std::vector<Endpoint>> rounds; //!< Instances asked at the same time.

private:
    LogOptions logOptions()
    {
        LogOptions options;
        options.linesPerSecond = 1'000;
        options.clock = [this] {
            return this->loop.now();
        };
        options.sink = [this](LogLevel, const std::string &line) {
            this->events.push_back(fieldOf(line, "outcome") + ' ' + fieldOf(line, "reason"));
            this->eventTimes.push_back(this->loop.now());
        };
        return options;
    }

    void run(const std::function<void()> &task)
    {
        const Duration left = this->pausedUntil - this->loop.now();
        if (left <= Duration::zero())
            task();
        else
            this->loop.after(left, [this, task] { this->run(task); });
    }

    void connect(Endpoint peer, const DomainReadinessHooks::ConnectHandler &handler)
    {
        if (this->rounds.empty() || this->loop.now() != this->lastConnectAt)
            this->rounds.emplace_back();
        this->lastConnectAt = this->loop.now();
        this->rounds.back().push_back(peer);
        const bool connected = this->reachable;
        this->loop.after(connected ? connectTime : connectTimeout, [this, handler, connected] {
            this->run([handler, connected] { handler(connected); });
        });
    }

    simulation::EventLoop &loop;
    Scheduler loopScheduler;
    TimePoint pausedUntil{};
    TimePoint lastConnectAt{};
    Scheduler scheduler;
    Log log;

public:
    Counters counters;
    DomainReadiness readiness;
};

const std::string withdrawn = "withdrawn own_upstreams_unusable";
const std::string withdrawnWithout = "withdrawn no_own_upstreams";

} // namespace

// Guards against a domain that stays in rotation although it can serve nothing, and against an
// instance that leaves rotation although its domain or its link works.
TEST_CASE("an instance withdraws only without own upstreams and without other domains",
          "[DomainReadiness]")
{
    struct Row
    {
        const char *name;
        std::function<void(Instance &instance, simulation::EventLoop &loop)> play;
        std::vector<std::string> events;
    };
    const auto row = GENERATE(values<Row>({
        {"evacuated and cut",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(1s);
         },
         {withdrawn}},
        {"cut only: the own upstreams serve",
         [](Instance &i, auto &loop) {
             i.cut();
             loop.runFor(10s);
         },
         {}},
        {"evacuated only: the others are reached",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.readiness.onSuspicion();
             loop.runFor(10s);
         },
         {}},
        {"all upstreams down everywhere, but the instances are reached",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             for (int n = 0; n < 20; ++n) {
                 i.readiness.onSuspicion();
                 loop.runFor(200ms);
             }
         },
         {}},
        {"no other domain has upstreams",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::Nowhere);
             i.cut();
             loop.runFor(10s);
         },
         {}},
        {"cut, then the own upstreams are confirmed down",
         [](Instance &i, auto &loop) {
             i.cut();
             loop.runFor(1s);
             i.setSupply(DomainSupply::OwnUnusable);
             loop.runFor(1s);
         },
         {withdrawn}},
        {"a domain without upstreams is cut",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OthersOnly);
             i.cut();
             loop.runFor(1s);
         },
         {withdrawnWithout}},
        {"a domain without upstreams loses the source of its view",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OthersOnly);
             i.reachable = false;
             i.facts.sourceLostAt = loop.now();
             i.readiness.onChange();
             loop.runFor(500ms);
         },
         {withdrawnWithout}},
        {"a cut shorter than two rounds",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(250ms);
             i.heal();
             loop.runFor(5s);
         },
         {}},
        {"the cut heals",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(4s);
             i.heal();
             loop.runFor(400ms);
         },
         {withdrawn, "returned peer_reached"}},
        {"the evacuation ends during the cut",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(4s);
             i.setSupply(DomainSupply::Own);
             loop.runFor(10s);
         },
         {withdrawn, "returned own_upstream"}},
        {"no instance of another domain is known any longer",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(4s);
             i.others.clear();
             loop.runFor(10s);
         },
         {withdrawn, "returned no_other_instance"}},
        {"no other domain is known",
         [](Instance &i, auto &loop) {
             i.others = membersOf({"a"});
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(10s);
         },
         {}},
        {"an instance that stops",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(150ms);
             i.readiness.stop();
             i.readiness.onSuspicion();
             loop.runFor(10s);
         },
         {}},
        {"paused while the first round runs, healed meanwhile",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(150ms);
             i.pause(2s);
             i.heal();
             loop.runFor(10s);
         },
         {}},
        {"paused while the second round runs, healed meanwhile",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(300ms);
             i.pause(2s);
             i.heal();
             loop.runFor(10s);
         },
         {}},
        {"paused between the rounds, still cut",
         [](Instance &i, auto &loop) {
             i.setSupply(DomainSupply::OwnUnusable);
             i.cut();
             loop.runFor(250ms);
             i.pause(2s);
             loop.runFor(3s);
         },
         {withdrawn}},
    }));
    INFO(row.name);
    simulation::EventLoop loop;
    Instance instance(loop);
    instance.startAndSettle();
    row.play(instance, loop);
    CHECK(instance.events == row.events);
    CHECK(instance.readiness.isWithdrawn()
          == (!row.events.empty() && row.events.back().starts_with("withdrawn")));
}

// Guards against a verdict that comes so late, or at such different times, that the routers do not
// find all instances of a domain out of rotation together.
TEST_CASE("instances with and without traffic withdraw within a second", "[DomainReadiness]")
{
    struct Row
    {
        const char *name;
        bool traffic;
        bool suspects;
    };
    const auto row = GENERATE(values<Row>({
        {"traffic, an upstream turns suspect", true, true},
        {"traffic, no upstream turns suspect", true, false},
        {"no traffic", false, false},
    }));
    INFO(row.name);
    simulation::EventLoop loop;
    Instance instance(loop);
    if (row.traffic)
        instance.answerRequests();
    instance.startAndSettle();
    instance.setSupply(DomainSupply::OwnUnusable);
    loop.runFor(7s);
    if (row.suspects)
        instance.cut();
    instance.reachable = false;
    loop.runFor(1s);
    CHECK(instance.events == std::vector{withdrawn});
}

// Guards against connections that a calm deployment makes all the time.
TEST_CASE("a calm instance asks nobody", "[DomainReadiness]")
{
    struct Row
    {
        const char *name;
        DomainSupply supply;
        bool traffic;
        bool suspicions; //!< Single upstreams turn suspect while others answer.
    };
    const auto row = GENERATE(values<Row>({
        {"own upstreams", DomainSupply::Own, false, true},
        {"a domain without upstreams", DomainSupply::OthersOnly, false, false},
        {"a domain without upstreams, failing upstreams", DomainSupply::OthersOnly, true, true},
        {"evacuated", DomainSupply::OwnUnusable, true, false},
        {"evacuated, failing upstreams", DomainSupply::OwnUnusable, true, true},
    }));
    INFO(row.name);
    simulation::EventLoop loop;
    Instance instance(loop);
    instance.facts.supply = row.supply;
    if (row.traffic)
        instance.answerRequests();
    instance.startAndSettle();
    for (int n = 0; n < 40; ++n) {
        if (row.suspicions)
            instance.readiness.onSuspicion();
        loop.runFor(250ms);
    }
    // Only a start in a domain without usable upstreams asks, once.
    CHECK(instance.rounds.size() == (row.supply == DomainSupply::OwnUnusable ? 1 : 0));
    CHECK(instance.events.empty());
}

// Guards against an instance without traffic that asks the others more often than its bound.
TEST_CASE("an evacuated instance without traffic asks twice per second at most",
          "[DomainReadiness]")
{
    simulation::EventLoop loop;
    Instance instance(loop);
    instance.startAndSettle();
    instance.setSupply(DomainSupply::OwnUnusable);
    loop.runFor(10s);
    CHECK(instance.rounds.size() <= 21);
    CHECK(instance.counters.value("readiness_connect") <= 21);
}

// Guards against rounds that ask one failed instance twice, or one domain only.
TEST_CASE("the rounds ask different instances of each other domain", "[DomainReadiness]")
{
    simulation::EventLoop loop;
    Instance instance(loop);
    instance.others.push_back(memberOf("b", instancesPerDomain + 1));
    instance.startAndSettle();
    instance.setSupply(DomainSupply::OwnUnusable);
    loop.runFor(100ms);
    instance.rounds.clear();
    instance.cut();
    loop.runFor(600ms);
    REQUIRE(instance.rounds.size() >= 2);
    const auto of = [](const std::vector<Endpoint> &round, char domain) {
        std::set<Endpoint> peers;
        for (const Endpoint &peer : round) {
            if (peer.address / 256 == static_cast<std::uint32_t>(domain))
                peers.insert(peer);
        }
        return peers;
    };
    for (std::size_t i = 0; i < 2; ++i) {
        CHECK(of(instance.rounds[i], 'a').empty());
        CHECK(of(instance.rounds[i], 'b').size() == 2);
        CHECK(of(instance.rounds[i], 'c').size() == 2);
    }
    std::set<Endpoint> asked = of(instance.rounds[0], 'b');
    asked.merge(of(instance.rounds[1], 'b'));
    CHECK(asked.size() == 4);
}

// Guards against a wrong verdict that lasts, and against an instance that alternates quickly.
TEST_CASE("a withdrawal ends after 20 s and does not repeat for 5 s", "[DomainReadiness]")
{
    simulation::EventLoop loop;
    Instance instance(loop);
    instance.startAndSettle();
    const auto supply = GENERATE(DomainSupply::OwnUnusable, DomainSupply::OthersOnly);
    instance.setSupply(supply);
    instance.cut();
    loop.runFor(30s);
    REQUIRE(instance.events.size() == 3);
    CHECK(instance.events[1] == "returned time_limit");
    CHECK(instance.events[2] == instance.events[0]);
    const Duration away = instance.eventTimes[1] - instance.eventTimes[0];
    const Duration back = instance.eventTimes[2] - instance.eventTimes[1];
    CHECK(away >= 19s);
    CHECK(away <= 20s);
    CHECK(back >= 5s);
    CHECK(back <= 6s);
}

// Guards against a withdrawal that follows another one at once because the cut comes and goes.
TEST_CASE("a link that comes and goes does not move the instance with it", "[DomainReadiness]")
{
    simulation::EventLoop loop;
    Instance instance(loop);
    instance.startAndSettle();
    instance.setSupply(DomainSupply::OwnUnusable);
    for (int n = 0; n < 20; ++n) {
        instance.cut();
        loop.runFor(1s);
        instance.heal();
        loop.runFor(1s);
    }
    CHECK(instance.events.size() >= 2);
    for (std::size_t i = 2; i < instance.events.size(); i += 2)
        CHECK(instance.eventTimes[i] - instance.eventTimes[i - 1] >= 5s);
}

// Guards against a verdict on evidence of the first moments: the upstreams of the own domain were
// usable when the instance started.
TEST_CASE("an instance does not withdraw within a second of its start", "[DomainReadiness]")
{
    simulation::EventLoop loop;
    Instance instance(loop);
    instance.reachable = false;
    instance.readiness.start();
    CHECK_FALSE(instance.readiness.isStarting());
    instance.setSupply(DomainSupply::OwnUnusable);
    instance.readiness.onSuspicion();
    loop.runFor(1s - 1ms);
    CHECK(instance.rounds.empty());
    CHECK(instance.events.empty());
    loop.runFor(1s);
    CHECK(instance.events == std::vector{withdrawn});
}

// Guards against a restarted instance that enters rotation in a domain whose instances have
// withdrawn: the routers would send all callers of the domain back to it.
TEST_CASE("an instance that starts in a domain without service asks other domains first",
          "[DomainReadiness]")
{
    struct Row
    {
        const char *name;
        bool reachable;
        Duration pause;
        std::vector<std::string> events;
        Duration undecided; //!< Greatest time until the verdict.
    };
    const auto row = GENERATE(values<Row>({
        {"another domain is reached", true, 0ms, {}, 10ms},
        {"no other domain is reached", false, 0ms, {withdrawn}, 400ms},
        {"paused while it waits", false, 500ms, {withdrawn}, 1'200ms},
    }));
    INFO(row.name);
    simulation::EventLoop loop;
    Instance instance(loop);
    instance.facts.supply = DomainSupply::OwnUnusable;
    instance.reachable = row.reachable;
    instance.readiness.start();
    CHECK(instance.readiness.isStarting());
    instance.pause(row.pause);
    loop.runFor(row.undecided);
    CHECK_FALSE(instance.readiness.isStarting());
    CHECK(instance.events == row.events);
}

// Guards against a start that never ends because nobody can be asked or the domain is returned.
TEST_CASE("a start without a verdict ends when the domain can serve", "[DomainReadiness]")
{
    simulation::EventLoop loop;
    Instance instance(loop);
    instance.facts.supply = DomainSupply::OwnUnusable;
    instance.reachable = false;
    const bool hasPeers = GENERATE(true, false);
    if (!hasPeers)
        instance.others.clear();
    instance.readiness.start();
    instance.setSupply(DomainSupply::Own);
    CHECK_FALSE(instance.readiness.isStarting());
    loop.runFor(3s);
    CHECK(instance.events.empty());
}

// Guards against two cut domains that keep each other in rotation, or take the third one out.
TEST_CASE("two domains that are cut at once both withdraw", "[DomainReadiness]")
{
    simulation::EventLoop loop;
    std::vector<std::unique_ptr<Instance>> instances;
    for (const char *domain : {"a", "b", "c"}) {
        for (std::uint32_t number = 1; number <= instancesPerDomain; ++number) {
            instances.push_back(std::make_unique<Instance>(loop, number, domain));
            instances.back()->startAndSettle();
        }
    }
    const auto inDomainC = [&](std::size_t index) {
        return index >= 2 * instancesPerDomain;
    };
    for (std::size_t i = 0; i < instances.size(); ++i) {
        instances[i]->setSupply(inDomainC(i) ? DomainSupply::Own : DomainSupply::OwnUnusable);
        instances[i]->cut();
    }
    loop.runFor(1s);
    for (std::size_t i = 0; i < instances.size(); ++i)
        CHECK(instances[i]->readiness.isWithdrawn() == !inDomainC(i));
}

// Guards against callers that lose a working instance because the others of its domain are cut off:
// the routers go elsewhere only when no instance of the domain is in rotation.
TEST_CASE("instances that disagree keep their domain in rotation", "[DomainReadiness]")
{
    struct Row
    {
        std::size_t connected; //!< Instances that reach other domains.
        bool ownDomain;        //!< Whether the callers' packets stay in their domain.
    };
    const auto row = GENERATE(values<Row>({{0, false}, {1, true}, {2, true}, {3, true}}));
    INFO(row.connected << " connected");
    simulation::EventLoop loop;
    std::vector<std::unique_ptr<Instance>> instances;
    for (std::uint32_t number = 1; number <= instancesPerDomain; ++number) {
        instances.push_back(std::make_unique<Instance>(loop, number));
        instances.back()->startAndSettle();
    }
    const Scheduler scheduler = loop.scheduler();
    simulation::Fabric fabric(scheduler, false, [&](std::size_t index) {
        return index >= instances.size() || !instances[index]->readiness.isWithdrawn();
    });
    for (std::size_t i = 0; i < 2 * instancesPerDomain; ++i)
        fabric.add(i, i < instancesPerDomain ? "a" : "b");
    fabric.start();
    for (std::size_t i = 0; i < instances.size(); ++i) {
        instances[i]->setSupply(DomainSupply::OwnUnusable);
        if (i >= row.connected)
            instances[i]->cut();
    }
    loop.runFor(3s);
    std::set<std::size_t> used;
    for (std::uint16_t port = 1; port <= 200; ++port)
        used.insert(*fabric.route("a", {1, port}, {2, 443}));
    CHECK(used.size() == (row.connected == 2 ? 2 : instancesPerDomain));
    for (const std::size_t index : used)
        CHECK((index < instancesPerDomain) == row.ownDomain);
}

// Guards against upstreams of the own domain that are counted although they take no new flows, and
// against services that no upstream offers.
TEST_CASE("the supply of a domain follows from registry, routes and health", "[DomainReadiness]")
{
    struct Row
    {
        const char *name;
        std::function<void(UpstreamDirectory &directory, std::vector<UpstreamEntry> &entries)> set;
        DomainSupply supply;
    };
    const auto entry = [](std::string name, std::string service, std::string domain) {
        UpstreamEntry result;
        result.name = std::move(name);
        result.service = std::move(service);
        result.domain = std::move(domain);
        result.address = {static_cast<std::uint32_t>(std::hash<std::string>()(result.name)), 1};
        return result;
    };
    const auto confirmDown = [](UpstreamDirectory &directory, UpstreamIndex index) {
        UpstreamHealth &health = directory.at(index).health;
        const TimePoint now(1s);
        health.markSuspect(now);
        health.onProbeResult(ProbeResult::TimedOut, now);
        health.onProbeResult(ProbeResult::TimedOut, now);
        REQUIRE(health.isConfirmedDown());
    };
    const auto row = GENERATE_COPY(values<Row>({
        {"both domains", [](auto &, auto &) {}, DomainSupply::Own},
        {"evacuated", [](auto &directory, auto &) { directory.setEvacuated("a", true); },
         DomainSupply::OwnUnusable},
        {"draining", [](auto &, auto &entries) { entries[0].state = UpstreamState::Draining; },
         DomainSupply::OwnUnusable},
        {"confirmed down", [&](auto &directory, auto &) { confirmDown(directory, 0); },
         DomainSupply::OwnUnusable},
        {"only another service of no route has an own upstream",
         [](auto &, auto &entries) { entries[0].service = "unused"; }, DomainSupply::OthersOnly},
        {"one of two services has an own upstream",
         [&](auto &, auto &entries) { entries.push_back(entry("b2", "second", "b")); },
         DomainSupply::Own},
        {"no own upstream", [](auto &, auto &entries) { entries.erase(entries.begin()); },
         DomainSupply::OthersOnly},
        {"evacuated, nothing elsewhere",
         [](auto &directory, auto &entries) {
             entries.pop_back();
             directory.setEvacuated("a", true);
         },
         DomainSupply::Nowhere},
        {"nothing anywhere", [](auto &, auto &entries) { entries.clear(); }, DomainSupply::Nowhere},
    }));
    INFO(row.name);
    UpstreamDirectory directory({});
    RouteTable routes;
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->routes.push_back({"r", {1, 443}, {{"main", 1}, {"second", 1}, {"none", 1}}});
    REQUIRE(routes.update(configuration, TimePoint(1s)));
    std::vector<UpstreamEntry> entries{entry("a1", "main", "a"), entry("b1", "main", "b")};
    const auto apply = [&] {
        std::vector<RegistryEntry> registry;
        for (const UpstreamEntry &each : entries)
            registry.push_back({each, 1});
        directory.replaceAll(registry, TimePoint(1s));
    };
    apply();
    row.set(directory, entries);
    apply();
    CHECK(DomainUpstreams(directory, routes, "a").supply() == row.supply);
}
