#include "steering/PacketSteering.h"
#include "support/SimulatedRuns.h"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

constexpr double coldRate = 4.0;
constexpr std::size_t coldLimit = 11; //!< Of new flows in one second, of all instances.
constexpr Duration slowStart = std::chrono::seconds(2);

const Endpoint route = *Endpoint::parse("198.18.0.1:8443");
const Endpoint idleCaller{0x64400001U, 1'025};
const Endpoint waitingCaller{0x64400002U, 1'025};

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

/** \brief One instance in domain "a" with one upstream there and one in domain "b". */
class ReturnFixture
{
public:
    explicit ReturnFixture(double rate)
        : steering({"a", 1'000}, this->directory, this->routes, this->random, this->hooks())
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = {{"feed", route, {{"s1", 1}}, RequestKind::Idempotent}};
        configuration.services = {{"s1", slowStart, rate, 0}};
        this->routes.update(std::make_shared<const Configuration>(configuration), at(0));
        this->list("a-1", "a", 1);
        this->list("b-1", "b", 1);
        this->steering.refreshColdBudgets();
        this->returning = this->directory.candidates("s1").front();
        this->open(idleCaller);
        this->open(waitingCaller);
        this->run(1'000);
    }

    void list(const std::string &name, const std::string &domain, std::int64_t startedAtMs,
              Duration coldFor = {})
    {
        UpstreamEntry entry;
        entry.name = name;
        entry.address = Endpoint{0x0a000000U + (domain == "a" ? 1U : 2U), 80};
        entry.service = "s1";
        entry.domain = domain;
        entry.slots = 2;
        entry.slowStart = coldFor;
        entry.startedAtMs = startedAtMs;
        const std::vector<RegistryChange> changes{{name, ++this->revision, entry}};
        this->directory.update(changes, at(this->now));
    }

    void unlist(const std::string &name)
    {
        const std::vector<RegistryChange> changes{{name, ++this->revision, std::nullopt}};
        this->directory.update(changes, at(this->now));
    }

    /** \brief Lets the upstream fail all probes for 600 ms after a request without an answer, and
     * then return. */
    void fail(ProbeResult result)
    {
        this->probeResult = result;
        this->request(waitingCaller);
        this->run(600);
        this->probeResult = ProbeResult::Connected;
        while (this->directory.at(this->returning).health.liveness() != Liveness::Alive)
            this->run(5);
    }

    void request(Endpoint caller)
    {
        FlowPacket packet = this->packet(caller, this->returning);
        packet.sequence = this->sequence;
        packet.dataBytes = 50;
        this->sequence += packet.dataBytes;
        static_cast<void>(this->steering.decide(packet, at(this->now)));
    }

    void acknowledgeAnswer(Endpoint caller)
    {
        FlowPacket packet = this->packet(caller, this->returning);
        packet.acknowledged += 400;
        packet.sequence = this->sequence;
        static_cast<void>(this->steering.decide(packet, at(this->now)));
    }

    /** \returns how many of 50 flows within one second the upstream gets. */
    std::size_t flowsInOneSecond()
    {
        std::size_t count = 0;
        for (std::uint16_t i = 0; i < 50; ++i) {
            const Endpoint caller{0x64400100U + i, ++this->port};
            count += this->open(caller) == this->returning ? 1U : 0U;
            this->run(15);
        }
        return count;
    }

    void run(int ms)
    {
        for (const int end = this->now + ms; this->now < end; this->now += 5) {
            this->steering.tick(at(this->now));
            for (const auto &[upstream, startedAt] : std::exchange(this->probes, {}))
                this->endProbe(upstream, startedAt);
        }
    }

    void confirmRegistry() { this->confirmedAt = at(this->now); }
    void cutLinks(bool isCut) { this->othersReached = !isCut; }
    void evacuateOther() { this->directory.setEvacuated("b", true); }

private:
    UpstreamIndex open(Endpoint caller)
    {
        FlowPacket syn;
        syn.caller = caller;
        syn.route = route;
        syn.syn = true;
        const UpstreamIndex upstream = this->steering.decide(syn, at(this->now)).upstream;
        this->now += 5;
        if (upstream != noUpstream)
            static_cast<void>(this->steering.decide(this->packet(caller, upstream), at(this->now)));
        return upstream;
    }

    [[nodiscard]] FlowPacket packet(Endpoint caller, UpstreamIndex upstream) const
    {
        FlowPacket packet;
        packet.caller = caller;
        packet.route = route;
        packet.flowTag = this->directory.at(upstream).flowTag;
        packet.sequence = 100;
        packet.acknowledged = 500;
        return packet;
    }

    void endProbe(UpstreamIndex upstream, int startedAt)
    {
        const bool fails = upstream == this->returning;
        const ProbeResult result = fails ? this->probeResult : ProbeResult::Connected;
        if (result == ProbeResult::TimedOut && this->now - startedAt < 110)
            this->probes.emplace_back(upstream, startedAt);
        else
            this->steering.onProbeResult(upstream, result, at(startedAt), at(this->now));
    }

    SteeringHooks hooks()
    {
        SteeringHooks result;
        result.startProbe = [this](UpstreamIndex upstream) {
            this->probes.emplace_back(upstream, this->now);
        };
        result.startReferenceProbe = [this](UpstreamIndex upstream) {
            if (this->othersReached)
                this->steering.onReferenceResult(upstream, ProbeResult::Connected, at(this->now),
                                                 at(this->now));
        };
        result.isBudgetSharer = [](std::string_view, unsigned) {
            return true;
        };
        result.verifyRegistry = [] {
        };
        result.registryConfirmedAt = [this] {
            return this->confirmedAt;
        };
        result.resetFlow = [](const FlowPacket &, UpstreamIndex) {
        };
        return result;
    }

    UpstreamDirectory directory{{}};
    RouteTable routes;
    Random random{1};
    std::vector<std::pair<UpstreamIndex, int>> probes;
    std::optional<TimePoint> confirmedAt = at(0);
    ProbeResult probeResult = ProbeResult::Connected;
    UpstreamIndex returning = noUpstream;
    std::uint64_t revision = 0;
    std::uint32_t sequence = 100;
    std::uint16_t port = 2'000;
    bool othersReached = true;
    int now = 0;
    PacketSteering steering;
};

} // namespace

// Guards against full load on an upstream that restarted while the registry could not tell, and
// against limits on one that was only cut off.
TEST_CASE("flows to an upstream that returns from an outage", "[ColdReturn]")
{
    struct Case
    {
        const char *what;
        double rate;
        std::function<void(ReturnFixture &fixture)> events;
        bool limited;
    };
    using enum ProbeResult;
    const auto test = GENERATE(values<Case>({
        {"refused, then back", coldRate, [](ReturnFixture &fixture) { fixture.fail(Refused); },
         true},
        {"timed out, then back", coldRate, [](ReturnFixture &fixture) { fixture.fail(TimedOut); },
         true},
        {"a service without a cold rate", 0.0,
         [](ReturnFixture &fixture) { fixture.fail(Refused); }, false},
        {"a suspect upstream that accepts connections", coldRate,
         [](ReturnFixture &fixture) { fixture.fail(Connected); }, false},
        {"this instance was cut off, not the upstream", coldRate,
         [](ReturnFixture &fixture) {
             fixture.cutLinks(true);
             fixture.fail(TimedOut);
         },
         false},
        {"registry confirmed before the return", coldRate,
         [](ReturnFixture &fixture) {
             fixture.confirmRegistry();
             fixture.fail(Refused);
         },
         true},
        {"same incarnation confirmed by the registry after the return", coldRate,
         [](ReturnFixture &fixture) {
             fixture.fail(Refused);
             fixture.run(500);
             fixture.confirmRegistry();
         },
         false},
        {"confirmed before a new incarnation can be listed", coldRate,
         [](ReturnFixture &fixture) {
             fixture.fail(Refused);
             fixture.run(100);
             fixture.confirmRegistry();
         },
         true},
        {"same incarnation registered again after the return", coldRate,
         [](ReturnFixture &fixture) {
             fixture.unlist("a-1");
             fixture.fail(TimedOut);
             fixture.list("a-1", "a", 1);
         },
         false},
        {"new incarnation listed, cold", coldRate,
         [](ReturnFixture &fixture) {
             fixture.fail(Refused);
             fixture.list("a-1", "a", 2, slowStart);
         },
         true},
        {"new incarnation listed, not cold", coldRate,
         [](ReturnFixture &fixture) {
             fixture.fail(Refused);
             fixture.list("a-1", "a", 2);
         },
         false},
        {"answer on a flow from before the outage", coldRate,
         [](ReturnFixture &fixture) {
             fixture.fail(TimedOut);
             fixture.request(idleCaller);
             fixture.run(20);
             fixture.acknowledgeAnswer(idleCaller);
         },
         false},
        {"two returns in a row, the first one confirmed", coldRate,
         [](ReturnFixture &fixture) {
             fixture.fail(Refused);
             fixture.run(500);
             fixture.confirmRegistry();
             static_cast<void>(fixture.flowsInOneSecond());
             fixture.fail(Refused);
         },
         true},
        {"slow start passed", coldRate,
         [](ReturnFixture &fixture) {
             fixture.fail(Refused);
             fixture.run(2'000);
         },
         false},
        {"timed out, then back, and no other upstream", coldRate,
         [](ReturnFixture &fixture) {
             fixture.fail(TimedOut);
             fixture.evacuateOther();
         },
         false},
        {"refused, then back, and no other upstream", coldRate,
         [](ReturnFixture &fixture) {
             fixture.fail(Refused);
             fixture.evacuateOther();
         },
         true},
    }));
    INFO(test.what);
    ReturnFixture fixture(test.rate);
    test.events(fixture);
    const std::size_t flows = fixture.flowsInOneSecond();
    CAPTURE(flows);
    CHECK((flows <= coldLimit) == test.limited);
    CHECK(flows > 0);
}

// Guards against a cold rate that holds only while the store tells of restarts.
TEST_CASE("upstreams restart while the store is silent", "[ColdReturn]")
{
    using namespace bulrushgap::simulation;
    const auto seed = GENERATE(range(1U, 5U));
    RunSettings settings = test::sampleRunSettings(std::chrono::seconds(15));
    for (ServiceSettings &service : settings.services)
        service.coldRequestsPerSecond = coldRate;
    for (RequestClass &each : settings.classes)
        each.perSecond *= 2;
    const std::vector<PlannedFault> faults{
        {FaultKind::StoreSilent, std::chrono::seconds(3), std::chrono::seconds(6), 1.0},
        {FaultKind::UpstreamCrash, std::chrono::seconds(4), milliseconds(1'500), 0.3}};
    const RunReport report = test::simulate(settings, faults, seed);
    INFO(report.toText());
    CHECK(report.broken(Promise::ColdRate) == 0);
}
