#include "balancer/Balancer.h"
#include "simulation/EventLoop.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Endpoint route = *Endpoint::parse("198.18.0.1:8443");
constexpr Duration objective = milliseconds(400);
constexpr std::size_t upstreams = 6;

/** \brief A store with a fixed content. */
class FixedStore : public ObjectSource, public MemberStore
{
public:
    explicit FixedStore(const Scheduler &scheduler, Duration objective)
        : scheduler(scheduler)
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.routes
            = {{"check", route, {{"s1", 1}}, RequestKind::Idempotent, {}, objective, 0}};
        this->objects[ViewKind::Configurations]
            = {{"main", 1, std::make_shared<const Configuration>(configuration)}};
        for (std::size_t i = 0; i < upstreams; ++i) {
            UpstreamEntry entry;
            entry.name = "u-" + std::to_string(i);
            entry.wireId = i + 1;
            entry.address = Endpoint{0x0a000001U + static_cast<std::uint32_t>(i), 80};
            entry.service = "s1";
            entry.domain = "a";
            entry.slots = 2;
            this->objects[ViewKind::Upstreams].push_back({entry.name, 1, entry});
        }
    }

    void list(ViewKind kind, ListHandler handler) override
    {
        this->later(milliseconds(1), [this, kind, handler] {
            handler({PlatformResult::Ok, 1, this->objects[kind], {}});
        });
    }
    void watchFor(ViewKind, StoreRevision since, std::chrono::milliseconds wait,
                  WatchHandler handler) override
    {
        this->later(wait, [since, handler] { handler({PlatformResult::Ok, since, {}, {}}); });
    }
    void dropWatches() override {}
    void createMember(const Member &, WriteHandler handler) override
    {
        this->later(milliseconds(1), [handler] { handler(PlatformResult::Ok); });
    }
    void replaceMember(const Member &member, WriteHandler handler) override
    {
        this->createMember(member, std::move(handler));
    }
    void removeMember(std::string_view, StoreRevision, WriteHandler handler) override
    {
        this->later(milliseconds(1), [handler] { handler(PlatformResult::Ok); });
    }

private:
    void later(Duration delay, Scheduler::Handler handler)
    {
        this->timers.push_back(this->scheduler.after(delay, std::move(handler)));
    }

    const Scheduler &scheduler;
    std::map<ViewKind, std::vector<ViewItem>> objects;
    std::vector<Scheduler::Timer> timers;
};

/** \brief One instance whose callers are answered by all upstreams but one. */
class WiringFixture
{
public:
    WiringFixture(bool enabled, Duration objective)
        : scheduler(this->loop.scheduler())
        , store(this->scheduler, objective)
        , balancer({{"i-1", "a", Endpoint{1, 1}, 100}, 10'000, {}, false, {}, enabled},
                   this->scheduler, this->store, this->store, this->random, this->counters,
                   this->log, this->hooks())
    {
        this->balancer.start();
        this->loop.runFor(seconds(1));
    }

    /** \brief Plays new flows with one request each for \a duration, 50 each second. */
    void play(Duration duration)
    {
        const TimePoint end = this->loop.now() + duration;
        while (this->loop.now() < end) {
            this->placeFlow();
            this->loop.runFor(milliseconds(20));
        }
    }

    [[nodiscard]] std::size_t linesOf(const std::string &event) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->lines, [&](const std::string &line) {
                return line.find("event=" + event + " ") != std::string::npos;
            }));
    }

    /** \returns the flows placed on the upstream that fails, and resets their number. */
    unsigned takeFlowsOfFailing() { return std::exchange(this->flowsOfFailing, 0); }

    simulation::EventLoop loop;
    Scheduler scheduler;
    bool failing = true; //!< The upstream "u-0" accepts connections and answers no request.
    unsigned flowsOfFailing = 0;
    std::uint16_t port = 1'000;
    Random random{5};
    Counters counters;
    std::vector<std::string> lines;
    Log log{LogOptions{10'000, {}, [this](LogLevel, const std::string &line) {
                           this->lines.push_back(line);
                       }}};
    FixedStore store;
    Balancer balancer;

private:
    BalancerHooks hooks()
    {
        BalancerHooks result;
        result.probe = [this](Endpoint, BalancerHooks::ProbeHandler handler) {
            this->loop.after(milliseconds(1), [handler] { handler(ProbeResult::Connected); });
        };
        result.resetCaller = [](const FlowPacket &) {
        };
        result.onReady = [](bool) {
        };
        result.onStopped = [] {
        };
        return result;
    }

    void placeFlow()
    {
        FlowPacket packet;
        packet.caller = {0x64400007, ++this->port};
        packet.route = route;
        packet.syn = true;
        const SteeringDecision decision = this->send(packet);
        REQUIRE(decision.action == SteeringDecision::Action::Forward);
        const Upstream &upstream = this->balancer.upstream(decision.upstream);
        const bool fails = this->failing && upstream.entry.name == "u-0";
        this->flowsOfFailing += upstream.entry.name == "u-0" ? 1 : 0;
        packet.syn = false;
        packet.flowTag = upstream.flowTag;
        packet.sequence = 100;
        packet.acknowledged = 500;
        this->sendAfter(milliseconds(2), packet);
        packet.dataBytes = 300;
        this->sendAfter(milliseconds(3), packet);
        packet.dataBytes = 0;
        packet.sequence = 400;
        packet.acknowledged = fails ? 500 : 2'500;
        packet.fin = true;
        this->sendAfter(fails ? seconds(1) : Duration(milliseconds(30)), packet);
    }

    void sendAfter(Duration delay, const FlowPacket &packet)
    {
        this->loop.after(delay, [this, packet] { static_cast<void>(this->send(packet)); });
    }

    SteeringDecision send(const FlowPacket &packet)
    {
        const SteeringDecision decision = this->balancer.decide(packet, {}, this->loop.now());
        this->balancer.scheduleTick();
        return decision;
    }
};

} // namespace

// Guards against a policy that the balancer does not ask, and against an upstream that never
// returns.
TEST_CASE("new flows leave an upstream that accepts them and does not answer", "[EjectionWiring]")
{
    WiringFixture fixture(true, objective);
    REQUIRE(fixture.balancer.isReady());
    fixture.play(seconds(2));
    CHECK(fixture.linesOf("upstream_ejected") == 1);
    CHECK(fixture.balancer.ejectedUpstreams() == 1);
    static_cast<void>(fixture.takeFlowsOfFailing());
    fixture.play(seconds(10));
    const unsigned trials = fixture.takeFlowsOfFailing();
    CHECK(trials > 0);
    CHECK(trials <= 5);
    CHECK(fixture.linesOf("upstream_on_trial") == trials);
    fixture.failing = false;
    fixture.play(seconds(20));
    CHECK(fixture.linesOf("upstream_reinstated") == 1);
    CHECK(fixture.balancer.ejectedUpstreams() == 0);
    static_cast<void>(fixture.takeFlowsOfFailing());
    fixture.play(seconds(2));
    CHECK(fixture.takeFlowsOfFailing() > 5);
}

// Guards against ejections where the settings or the routes do not require them.
TEST_CASE("without the setting or an objective nothing is ejected", "[EjectionWiring]")
{
    const auto [enabled, limit]
        = GENERATE(table<bool, Duration>({{false, objective}, {true, Duration::zero()}}));
    WiringFixture fixture(enabled, limit);
    fixture.play(seconds(10));
    CHECK(fixture.linesOf("upstream_ejected") == 0);
    CHECK(fixture.takeFlowsOfFailing() > 5);
}
