#include "simulation/PromiseChecks.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::simulation;
using namespace std::chrono_literals;

namespace {

const Endpoint caller{0xc612'0001, 40'000};
const Endpoint route{0xc633'0001, 8'443};
const std::string instance = "domain-1-1";

/** \brief Upstreams and checks, without instances: the test plays what these would do. */
class Scene
{
public:
    Scene()
        : surroundings(1, {}, 20s)
        , fleet(this->surroundings, this->settings,
                [this](std::size_t) { return this->upstreamHooks(); })
        , checks(this->settings, this->fleet,
                 [this](Promise promise, const std::string &) { this->broken.push_back(promise); })
    {
        this->settings.domains = {"domain-1"};
        this->settings.services = {{"feed", 1, 2, 4.0}, {"other", 1, 2, 0.0}};
        this->checks.configured(this->configuration(1, "feed"), this->now());
        this->fleet.startRegistry();
        this->feed = this->fleet.add("feed", "domain-1", false);
        this->other = this->fleet.add("other", "domain-1", false);
        this->spare = this->fleet.add("feed", "domain-1", false);
        this->run(10s);
    }
    Scene(const Scene &) = delete;
    Scene &operator=(const Scene &) = delete;

    [[nodiscard]] TimePoint now() const { return this->surroundings.loop.now(); }
    void run(Duration duration) { this->surroundings.loop.runFor(duration); }
    [[nodiscard]] Transit transit() const { return {instance, this->now()}; }

    static std::shared_ptr<const balance::Configuration> configuration(std::uint64_t version,
                                                                       const std::string &service)
    {
        balance::Configuration result;
        result.version = version;
        if (!service.empty())
            result.routes = {{"feed", route, {{service, 1}}, balance::RequestKind::Idempotent}};
        return std::make_shared<const balance::Configuration>(result);
    }

    static WirePacket packet(bool syn)
    {
        WirePacket result;
        result.source = caller;
        result.destination = route;
        result.sequence = syn ? 100 : 101;
        result.syn = syn;
        result.ack = !syn;
        (void)result.toBytes();
        return result;
    }

    void syn(std::size_t upstream)
    {
        this->checks.onSyn(upstream, packet(true), this->transit(), this->now());
    }

    void data(std::size_t upstream)
    {
        this->checks.onPacket(upstream, packet(false), false, this->transit(), this->now());
    }

    /** \brief Opens the flow at an upstream. */
    void open(std::size_t upstream)
    {
        this->answer.reset();
        this->deliver(upstream, packet(true));
        REQUIRE(this->answer);
        WirePacket ack = packet(false);
        ack.acknowledged = this->answer->sequence + 1;
        this->deliver(upstream, ack);
        REQUIRE(this->fleet.member(upstream).model->holds(caller, route));
    }

    /** \brief A packet of the flow reaches another upstream every second. */
    void stray(std::size_t upstream, unsigned packets)
    {
        for (unsigned i = 0; i < packets; ++i) {
            this->data(upstream);
            this->run(1s);
        }
    }

    void reset(Duration age)
    {
        this->checks.onForeignReset(caller, route, true, this->now() - age, instance, this->now());
    }

    RunSettings settings;
    Surroundings surroundings;
    UpstreamFleet fleet;
    PromiseChecks checks;
    std::vector<Promise> broken;
    std::size_t feed = 0;
    std::size_t other = 0;
    std::size_t spare = 0; //!< A second upstream of the service feed.

private:
    UpstreamModelHooks upstreamHooks()
    {
        UpstreamModelHooks hooks;
        hooks.send = [this](const WirePacket &sent) {
            this->answer = sent;
        };
        hooks.workFor = [](const HttpRequest &) {
            return Work{};
        };
        hooks.onSyn = [](const WirePacket &) {
        };
        hooks.onPacket = [](const WirePacket &, bool) {
        };
        hooks.onRun = [](const HttpRequest &) {
        };
        return hooks;
    }

    void deliver(std::size_t upstream, WirePacket sent)
    {
        const FleetMember &member = this->fleet.member(upstream);
        Bytes datagram;
        appendBigEndian(datagram, member.entry.wireId, 8);
        const Bytes bytes = sent.toBytes();
        datagram.insert(datagram.end(), bytes.begin(), bytes.end());
        member.model->onDatagram(datagram);
    }

    std::optional<WirePacket> answer;
};

struct Misdeed
{
    std::string name;
    Promise promise;
    std::function<void(Scene &)> act;
};

const std::vector<Misdeed> &misdeeds()
{
    static const std::vector<Misdeed> table{
        {"a changed packet", Promise::PacketUnchanged,
         [](Scene &scene) {
             WirePacket changed = Scene::packet(true);
             ++changed.sequence;
             scene.checks.onPacket(scene.feed, changed, true, scene.transit(), scene.now());
         }},
        {"a flow to a service without the route", Promise::RightService,
         [](Scene &scene) {
             scene.syn(scene.other);
         }},
        {"a flow on a dropped route", Promise::RouteInForce,
         [](Scene &scene) {
             scene.checks.configured(Scene::configuration(2, ""), scene.now());
             scene.run(4s);
             scene.syn(scene.feed);
         }},
        {"a present route refused", Promise::RouteInForce,
         [](Scene &scene) {
             scene.checks.onUnrouted(route, scene.transit(), scene.now());
         }},
        {"a flow to an upstream that drains", Promise::NoFlowsToLeaving,
         [](Scene &scene) {
             scene.fleet.drain(scene.feed);
             scene.run(3'200ms);
             scene.syn(scene.feed);
         }},
        {"a flow to an evacuated domain", Promise::NoFlowsToEvacuated,
         [](Scene &scene) {
             scene.checks.evacuated("domain-1", true, scene.now());
             scene.run(6s);
             scene.syn(scene.feed);
         }},
        {"a reset of a flow that is served", Promise::NoFalseReset,
         [](Scene &scene) {
             scene.open(scene.feed);
             scene.reset(1s);
         }},
        {"packets of a flow at another upstream", Promise::FlowsStay,
         [](Scene &scene) {
             scene.open(scene.feed);
             scene.stray(scene.spare, 4);
         }},
        {"too many flows for a cold upstream", Promise::ColdRate,
         [](Scene &scene) {
             const std::size_t cold = scene.fleet.add("feed", "domain-1", true);
             for (unsigned i = 0; i < 12; ++i)
                 scene.syn(cold);
         }},
        {"a request that runs twice", Promise::RunOnce,
         [](Scene &scene) {
             scene.checks.onRun({"booking-1.1", "POST", "/booking", 0}, false);
             scene.checks.onRun({"booking-1.2", "POST", "/booking", 0}, false);
         }},
    };
    return table;
}

struct Allowed
{
    std::string name;
    std::function<void(Scene &)> act;
};

const std::vector<Allowed> &allowedActs()
{
    static const std::vector<Allowed> table{
        {"a flow on the route's service",
         [](Scene &scene) {
             scene.syn(scene.feed);
         }},
        {"a flow on a route dropped a moment ago",
         [](Scene &scene) {
             scene.checks.configured(Scene::configuration(2, ""), scene.now());
             scene.run(2s);
             scene.syn(scene.feed);
         }},
        {"a dropped route refused",
         [](Scene &scene) {
             scene.checks.configured(Scene::configuration(2, ""), scene.now());
             scene.run(1s);
             scene.checks.onUnrouted(route, scene.transit(), scene.now());
         }},
        {"a flow to an upstream that drains, from an instance without the store",
         [](Scene &scene) {
             scene.fleet.drain(scene.feed);
             scene.run(3'200ms);
             scene.checks.disturbances().instance(instance, scene.now());
             scene.syn(scene.feed);
         }},
        {"a reset after the upstream's process ended",
         [](Scene &scene) {
             scene.open(scene.feed);
             scene.fleet.crash(scene.feed);
             scene.reset(1s);
         }},
        {"a reset of a flow older than flows live",
         [](Scene &scene) {
             scene.open(scene.feed);
             scene.reset(scene.settings.bounds.flowLifetime + 1s);
         }},
        {"two packets of a flow at another upstream",
         [](Scene &scene) {
             scene.open(scene.feed);
             scene.stray(scene.spare, 2);
         }},
        {"as many flows as a cold upstream bears",
         [](Scene &scene) {
             const std::size_t cold = scene.fleet.add("feed", "domain-1", true);
             for (unsigned i = 0; i < 4; ++i)
                 scene.syn(cold);
         }},
        {"a repeatable request that runs twice",
         [](Scene &scene) {
             scene.checks.onRun({"feed-1.1", "GET", "/feed", 0}, true);
             scene.checks.onRun({"feed-1.2", "GET", "/feed", 0}, true);
         }},
    };
    return table;
}

} // namespace

// Guards against checks that can't fail: each is shown a deed that breaks its promise.
TEST_CASE("Each check notices its broken promise", "[PromiseChecks]")
{
    const Misdeed &misdeed = GENERATE(from_range(misdeeds()));
    INFO(misdeed.name);
    Scene scene;
    misdeed.act(scene);
    REQUIRE(!scene.broken.empty());
    CHECK(scene.broken.front() == misdeed.promise);
}

// Guards against checks that fail for what is allowed.
TEST_CASE("No check fails for what is allowed", "[PromiseChecks]")
{
    const Allowed &allowed = GENERATE(from_range(allowedActs()));
    INFO(allowed.name);
    Scene scene;
    allowed.act(scene);
    CHECK(scene.broken.empty());
}
