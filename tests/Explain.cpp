#include "Loopback.h"
#include "app/Commands.h"
#include "placement.h"
#include "role/BalancerRole.h"
#include "role/ExplainEndpoint.h"
#include "service.h"
#include "steering.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <unistd.h>

#include <functional>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

const Endpoint address = *Endpoint::parse("198.18.0.1:8443");
const Endpoint removedAddress = *Endpoint::parse("198.18.0.2:8443");
const Endpoint unknownAddress = *Endpoint::parse("198.18.0.3:8443");
constexpr std::uint16_t firstPort = 1'025;
constexpr std::size_t others = 3;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

/** \brief One busy upstream in domain "a", which loses against any idle one, and idle ones in "b".
 */
class ExplainFixture
{
public:
    ExplainFixture()
        : placement(this->directory, this->reachability, "a", this->random)
        , steering({"a", 1'000, true}, this->directory, this->routes, this->random, this->hooks())
    {
        this->placement.useLearnedCapacity();
        this->put("usable", "a");
        for (std::size_t i = 1; i <= others; ++i)
            this->put("other-" + std::to_string(i), "b");
        this->directory.at(0).openFlows = 400;
        this->configure(1, {{"old", removedAddress, {{"s1", 1}}}});
        this->configure(2, {{"feed", address, {{"s1", 1}}}});
    }

    void put(const std::string &name, const std::string &domain,
             UpstreamState state = UpstreamState::Ready)
    {
        UpstreamEntry entry;
        entry.name = name;
        entry.wireId = ++this->revision;
        entry.address = Endpoint{0x0a000000U + static_cast<std::uint32_t>(this->revision), 80};
        entry.service = "s1";
        entry.domain = domain;
        entry.slots = 2;
        entry.state = state;
        this->directory.update(std::vector<RegistryChange>{{name, this->revision, entry}}, at(0));
    }

    void configure(std::uint64_t version, std::vector<Route> list)
    {
        Configuration configuration;
        configuration.version = version;
        configuration.routes = std::move(list);
        this->routes.update(std::make_shared<const Configuration>(configuration), at(0));
    }

    void confirmDown(UpstreamIndex upstream)
    {
        UpstreamHealth &health = this->directory.at(upstream).health;
        health.markSuspect(at(0));
        for (int ms = 1; ms <= 2; ++ms) {
            health.probeStarted(at(ms));
            health.onProbeResult(ProbeResult::Refused, at(ms));
        }
    }

    void cutDomain()
    {
        const DomainIndex domain = this->directory.at(1).domainIndex;
        for (UpstreamIndex upstream = 1; upstream <= others; ++upstream)
            this->reachability.onProbeFailed(domain,
                                             {upstream, ProbeResult::Refused, at(20), upstream > 1},
                                             {others, 1}, at(22));
        this->reachability.onProbeFailed(domain, {1, ProbeResult::Refused, at(220), false},
                                         {others, 1}, at(222));
        this->reachability.onConnected(this->directory.at(0).domainIndex, at(220), at(223));
    }

    void makeCold(UpstreamIndex upstream, double rate)
    {
        this->directory.at(upstream).coldUntil = at(60'000);
        this->directory.at(upstream).coldBudget.setRate(rate);
    }

    UpstreamIndex open(int ms)
    {
        FlowPacket syn;
        syn.caller = {0x64400000U + static_cast<std::uint32_t>(++this->callers), firstPort};
        syn.route = address;
        syn.syn = true;
        return this->steering.decide(syn, at(ms)).upstream;
    }

    [[nodiscard]] PlacementExplanation explain() const
    {
        return this->placement.explain(
            "s1", {}, [](const Upstream &) { return false; }, at(300));
    }

    UpstreamDirectory directory{{}};
    RouteTable routes;
    Random random{1};
    DomainReachability reachability{{}};
    Placement placement;
    PacketSteering steering;

private:
    SteeringHooks hooks()
    {
        SteeringHooks result;
        result.startProbe = [](UpstreamIndex) {
        };
        result.startReferenceProbe = [](UpstreamIndex) {
        };
        result.onLivenessChange = [](UpstreamIndex, Liveness, std::string_view) {
        };
        result.isBudgetSharer = [](std::string_view, unsigned) {
            return true;
        };
        result.verifyRegistry = [] {
        };
        result.registryConfirmedAt = [] {
            return std::nullopt;
        };
        result.resetFlow = [](const FlowPacket &, UpstreamIndex) {
        };
        return result;
    }

    std::uint64_t revision = 0;
    std::size_t callers = 0;
};

using Spoil = std::function<void(ExplainFixture &fixture, UpstreamIndex upstream)>;
using Count = std::function<std::size_t(const PlacementExplanation &explanation)>;

struct Case
{
    std::string what;
    Spoil spoil; //!< Called for each upstream that is not to be chosen.
    Count count;
    bool isCandidate;
};

// clang-format off
const std::vector<Case> &cases()
{
    static const std::vector<Case> list{
        {"draining",
         [](auto &fixture, auto upstream) { fixture.put(fixture.directory.at(upstream).entry.name, "b", UpstreamState::Draining); },
         [](const auto &result) { return result.excluded.draining; }, false},
        {"evacuated",
         [](auto &fixture, auto) { fixture.directory.setEvacuated("b", true); },
         [](const auto &result) { return result.excluded.evacuated; }, false},
        {"confirmed down",
         [](auto &fixture, auto upstream) { fixture.confirmDown(upstream); },
         [](const auto &result) { return result.excluded.confirmedDown; }, false},
        {"domain unreachable",
         [](auto &fixture, auto upstream) { if (upstream == others) fixture.cutDomain(); },
         [](const auto &result) { return result.excluded.domainUnreachable; }, false},
        {"cold without budget",
         [](auto &fixture, auto upstream) { fixture.makeCold(upstream, 0.0); },
         [](const auto &result) { return result.excluded.coldWithoutBudget; }, false},
        {"ejected",
         [](auto &fixture, auto upstream) { fixture.directory.at(upstream).ejection = {true, at(9'000)}; },
         [](const auto &result) { return result.avoided.ejected; }, true},
        {"suspect",
         [](auto &fixture, auto upstream) { fixture.directory.at(upstream).health.markSuspect(at(0)); },
         [](const auto &result) { return result.avoided.suspect; }, true},
        {"slow",
         [](auto &fixture, auto upstream) {
             Upstream &slow = fixture.directory.at(upstream);
             slow.outstanding = 30;
             for (int i = 0; i < 100; ++i)
                 slow.capacity.add(16.0, at(299));
         },
         [](const auto &result) { return result.avoided.slow; }, true},
    };
    return list;
}
// clang-format on

/** \brief Serves GET /explain on a loopback address in another thread. */
class ExplainServer
{
public:
    ExplainServer(ExplainFixture &fixture, std::string name, bool ready)
        : server(this->context, Endpoint{0x7f000001, 0})
    {
        this->server.route("GET", "/explain", [&fixture, name, ready](const auto &request) {
            return explainReply(request, [&](Endpoint route, std::optional<Endpoint> caller) {
                InstanceExplanation result{name, "a", ready ? "" : "view_incomplete", {}, {}};
                if (ready)
                    result.flow = fixture.steering.explain(route, caller, at(300));
                return result;
            });
        });
        this->endpoint = startServer(this->server);
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~ExplainServer()
    {
        this->context.stop();
        this->thread.join();
    }
    ExplainServer(const ExplainServer &) = delete;
    ExplainServer &operator=(const ExplainServer &) = delete;

    [[nodiscard]] std::string address() const { return this->endpoint.toString(); }

private:
    boost::asio::io_context context{1};
    HttpServer server;
    Endpoint endpoint;
    std::thread thread;
};

/** \returns a stored object of the platform. */
std::string object(const std::string &name, const std::string &spec)
{
    return R"({"meta":{"name":")" + name + R"(","revision":3},"spec":)" + spec + "}";
}

/** \returns the objects of a kind that a platform with one ready and one draining upstream lists.
 */
std::string objectsOf(const std::string &kind)
{
    const std::string upstream
        = R"({"service":"s1","addr":"127.0.0.1:9","zone":"a","version":"v1",)"
          R"("slots":2,"slow_start_ms":0,"seq":4,"born":1,"state":")";
    if (kind == "servers")
        return object("i-1", upstream + R"(ready"})") + ","
               + object("i-2", upstream + R"(draining"})");
    if (kind == "config")
        return object("main", R"({"version":7,"routes":[{"name":"feed","hostname":"198.18.0.1",)"
                              R"("path_prefix":"/8443/","route_type":"safe","service":"s1"}],)"
                              R"("services":[],"limits":{}})");
    return "";
}

HttpReply listOf(const std::string &kind)
{
    HttpReply reply;
    reply.body = R"({"as_of":5,"items":[)" + objectsOf(kind) + "]}";
    return reply;
}

/** \returns a free port of the loopback address. */
std::uint16_t freePort()
{
    namespace tcp = boost::asio::ip;
    boost::asio::io_context context;
    tcp::tcp::acceptor acceptor(context, {tcp::address_v4::loopback(), 0});
    return acceptor.local_endpoint().port();
}

/** \brief A BalancerRole with its sockets and a store that lists objectsOf, in another thread. */
class RunningBalancer
{
public:
    RunningBalancer()
        : store(this->context, Endpoint{0x7f000001, 0})
        , pipe(this->context, STDERR_FILENO)
    {
        this->store.routeAsync(
            "GET", "/-/objects/{}",
            [this](const HttpRequestView &request, const HttpResponder &respond) {
                if (request.parameter("watch"))
                    this->watches.push_back(respond);
                else
                    respond(listOf(request.captures.front()));
            });
        BalancerSettings settings;
        settings.name = "pattani-1";
        settings.domain = "a";
        settings.packetAddress = {0x7f000001, freePort()};
        settings.readyAddress = {0x7f000001, freePort()};
        settings.peerAddress = {0x7f000001, freePort()};
        settings.store = startServer(this->store);
        settings.flowCapacity = 1'024;
        this->address = settings.readyAddress.toString();
        this->role.emplace(this->context, settings, this->pipe);
        REQUIRE(this->role->start());
        this->thread = std::thread([this] { this->context.run(); });
    }
    ~RunningBalancer()
    {
        this->context.stop();
        this->thread.join();
    }
    RunningBalancer(const RunningBalancer &) = delete;
    RunningBalancer &operator=(const RunningBalancer &) = delete;

    std::string address; //!< For readiness.

private:
    boost::asio::io_context context{1};
    std::vector<HttpResponder> watches;
    HttpServer store;
    LogPipe pipe;
    std::optional<BalancerRole> role;
    std::thread thread;
};

struct ExplainRun
{
    int code;
    std::string output;
    std::string errors;
};

ExplainRun run(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "explain");
    std::ostringstream output;
    std::ostringstream errors;
    auto *const out = std::cout.rdbuf(output.rdbuf());
    auto *const err = std::cerr.rdbuf(errors.rdbuf());
    const int code = runCommand(arguments);
    std::cout.rdbuf(out);
    std::cerr.rdbuf(err);
    return {code, output.str(), errors.str()};
}

} // namespace

// Guards against a reason that is counted as another, or that does not explain the choice.
TEST_CASE("the only usable upstream is explained by what is wrong with the others", "[Explain]")
{
    const Case test = GENERATE(from_range(cases()));
    INFO(test.what);
    ExplainFixture fixture;
    REQUIRE(fixture.explain().best.front().upstream != "usable");
    for (UpstreamIndex upstream = 1; upstream <= others; ++upstream)
        test.spoil(fixture, upstream);
    const PlacementExplanation result = fixture.explain();
    CHECK(test.count(result) == others);
    const PlacementExclusions &out = result.excluded;
    CHECK(out.draining + out.evacuated + out.ambiguousTag + out.confirmedDown
              + out.domainUnreachable + out.coldWithoutBudget
          == (test.isCandidate ? 0 : others));
    CHECK(result.best.size() == (test.isCandidate ? others + 1 : 1));
    REQUIRE(result.choice.upstream == 0);
    CHECK(result.best.front().upstream == "usable");
    CHECK(result.best.front().flows == 400);
    CHECK(fixture.placement.choose("s1", {}, at(300)).upstream == 0);
}

// Guards against a verdict that differs from the decision on the flow.
TEST_CASE("the verdict is the reason of the decision", "[Explain]")
{
    const auto [what, route, spoil, verdict]
        = GENERATE(table<std::string, Endpoint, Spoil, SteeringReason>({
            {"usable", address, [](auto &, auto) {}, SteeringReason::NewFlow},
            {"no route", unknownAddress, [](auto &, auto) {}, SteeringReason::NoRoute},
            {"removed route", removedAddress, [](auto &, auto) {}, SteeringReason::RouteRemoved},
            {"evacuated", address,
             [](auto &fixture, auto) {
                 fixture.directory.setEvacuated("a", true);
                 fixture.directory.setEvacuated("b", true);
             },
             SteeringReason::NoUpstream},
            {"cold", address, [](auto &fixture, auto i) { fixture.makeCold(i, 0.0); },
             SteeringReason::ColdUpstreams},
            {"down", address, [](auto &fixture, auto i) { fixture.confirmDown(i); },
             SteeringReason::AllUnreachable},
        }));
    INFO(what);
    ExplainFixture fixture;
    for (UpstreamIndex upstream = 0; upstream <= others; ++upstream)
        spoil(fixture, upstream);
    CHECK(fixture.steering.explain(route, std::nullopt, at(300)).verdict == verdict);
    FlowPacket syn;
    syn.caller = {0x64400001U, firstPort};
    syn.route = route;
    syn.syn = true;
    CHECK(fixture.steering.decide(syn, at(300)).reason == verdict);
}

// Guards against an explanation that names an upstream to which the caller's last attempt failed.
TEST_CASE("the caller's unanswered attempts count", "[Explain]")
{
    ExplainFixture fixture;
    const UpstreamIndex tried = fixture.open(0);
    const Endpoint caller{0x64400001U, firstPort + 1};
    const auto explain = [&](std::optional<Endpoint> from) {
        return fixture.steering.explain(address, from, at(1'000)).services.front().placement;
    };
    fixture.directory.at(tried).openFlows = 0;
    for (UpstreamIndex upstream = 0; upstream <= others; ++upstream)
        fixture.directory.at(upstream).outstanding = upstream == tried ? 0 : 10;
    CHECK(explain(std::nullopt).choice.upstream == tried);
    CHECK(explain(caller).choice.upstream != tried);
    CHECK(explain(caller).avoided.triedByThisCaller == 1);
    CHECK(fixture.directory.at(tried).health.liveness() == Liveness::Alive);
}

// Guards against an explanation that uses up the budget of a cold upstream, starts a trial of an
// ejected one, or shifts the random numbers of the next decisions.
TEST_CASE("an explanation changes no later decision", "[Explain]")
{
    ExplainFixture explained;
    ExplainFixture untouched;
    for (ExplainFixture *fixture : {&explained, &untouched}) {
        fixture->makeCold(1, 4.0);
        fixture->makeCold(2, 4.0);
        fixture->directory.at(3).ejection = {true, at(2'000)};
    }
    for (int ms = 0; ms < 6'000; ms += 40) {
        for (int i = 0; i < 5; ++i)
            static_cast<void>(explained.steering.explain(address, Endpoint{1, 2}, at(ms)));
        CHECK(explained.open(ms) == untouched.open(ms));
        CHECK(explained.steering.takeTrial() == untouched.steering.takeTrial());
    }
    CHECK(explained.random == untouched.random);
    CHECK(explained.steering.flowCount() == untouched.steering.flowCount());
    CHECK(explained.directory.at(3).ejection.nextTrial > at(2'000));
}

// Guards against exit codes that hide a refusal, and against an answer without a reason.
TEST_CASE("the command asks an instance over HTTP", "[Explain]")
{
    const auto [route, ready, arguments, code, output, errors] = GENERATE(
        table<std::string, bool, std::vector<std::string>, int, std::string, std::string>({
            {"198.18.0.1:8443", true, {}, 0, "service s1 weight=1: new_flow to other-", ""},
            {"198.18.0.1:8443", true, {"--json"}, 0, R"("verdict":"new_flow")", ""},
            {"198.18.0.1:8443", true, {"--caller", "100.64.0.1:9"}, 0, "avoided: none", ""},
            {"198.18.0.3:8443",
             true,
             {},
             1,
             "198.18.0.3:8443: no_route",
             "has no such route: no_route"},
            {"198.18.0.1:8443", false, {}, 5, "ready=false", "is not ready: view_incomplete"},
            {"198.18.0.1", true, {}, 2, "", "option --route needs IP:PORT"},
            {"198.18.0.1:8443", true, {"--caller", "x"}, 2, "", "option --caller needs IP:PORT"},
            {"198.18.0.1:8443", true, {"--instance", "x"}, 2, "", "option --instance needs"},
            {"198.18.0.1:8443", true, {"--instance", "127.0.0.1:1"}, 5, "new_flow", "unreachable"},
        }));
    ExplainFixture fixture;
    ExplainServer server(fixture, "pattani-1", ready);
    std::vector<std::string> all{"--instance", server.address(), "--route", route};
    all.insert(all.end(), arguments.begin(), arguments.end());
    const ExplainRun result = run(all);
    CAPTURE(all, result.output, result.errors);
    CHECK(result.code == code);
    CHECK(result.output.find(output) != std::string::npos);
    CHECK(result.errors.find(errors) != std::string::npos);
}

// Guards against an endpoint that is not reachable in the process, or explains another view.
TEST_CASE("a running balancer explains its view of the store", "[Explain]")
{
    RunningBalancer balancer;
    const std::vector<std::string> arguments{"--instance", balancer.address, "--route",
                                             "198.18.0.1:8443"};
    ExplainRun result = run(arguments);
    for (int i = 0; i < 200 && result.code == 5; ++i) {
        std::this_thread::sleep_for(milliseconds(10));
        result = run(arguments);
    }
    CAPTURE(result.output, result.errors);
    CHECK(result.code == 0);
    CHECK(result.output.starts_with("instance pattani-1 domain=a ready=true version=7 "));
    CHECK(result.output.find("service s1 weight=1: new_flow to i-1\n") != std::string::npos);
    CHECK(result.output.find("candidates=1\n  excluded: draining=1\n") != std::string::npos);
}

// Guards against a comparison that misses a difference, or that reports the names of instances.
TEST_CASE("the command compares two instances", "[Explain]")
{
    ExplainFixture first;
    ExplainFixture second;
    ExplainServer firstServer(first, "pattani-1", true);
    ExplainServer secondServer(second, "pattani-2", true);
    const std::vector<std::string> arguments{"--instance", firstServer.address(),
                                             "--instance", secondServer.address(),
                                             "--route",    "198.18.0.1:8443"};
    SECTION("equal views")
    {
        const ExplainRun result = run(arguments);
        INFO(result.output);
        CHECK(result.code == 0);
        CHECK(result.output.find("no differences\n") != std::string::npos);
    }
    SECTION("one instance knows of an evacuation")
    {
        second.directory.setEvacuated("b", true);
        const ExplainRun result = run(arguments);
        INFO(result.output);
        CHECK(result.code == 0);
        CHECK(result.output.find("  services.s1.excluded.evacuated: 0 3\n") != std::string::npos);
        CHECK(result.output.find("  services.s1.upstream: other-1 usable\n") != std::string::npos);
        CHECK(result.output.find("  services.s1.best.other-1: listed -\n") != std::string::npos);
        CHECK(result.output.find("  instance:") == std::string::npos);
    }
    SECTION("one instance would refuse the flow")
    {
        second.directory.setEvacuated("a", true);
        second.directory.setEvacuated("b", true);
        const ExplainRun result = run(arguments);
        INFO(result.output);
        CHECK(result.code == 1);
        CHECK(result.output.find("  verdict: new_flow no_upstream\n") != std::string::npos);
    }
}

// Guards against a malformed query that is answered for another route.
TEST_CASE("a malformed query is refused", "[Explain]")
{
    HttpRequestView request;
    request.query = GENERATE(values<std::vector<HttpParameter>>({
        {},
        {{"route", "198.18.0.1"}},
        {{"route", "198.18.0.1:8443"}, {"caller", "x"}},
    }));
    const HttpReply reply = explainReply(request, [](Endpoint, std::optional<Endpoint>) {
        FAIL("the query was accepted");
        return InstanceExplanation{};
    });
    CHECK(reply.status == 400);
    CHECK(boost::json::parse(reply.body).as_object().contains("error"));
}
