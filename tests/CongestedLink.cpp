#include "steering/PacketSteering.h"

#include <catch2/catch.hpp>

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

constexpr int probeTimeoutMs = 110;
constexpr int requestAtMs = 10'000;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

/** \brief An instance whose only flow is idle for seconds; connections depend on its link. */
class IdleInstance
{
public:
    /** \returns whether a connection that starts at this time is accepted. */
    using Link = std::function<bool(UpstreamIndex upstream, int ms)>;

    explicit IdleInstance(Link link)
        : link(std::move(link))
        , steering({"a", 1'000}, this->directory, this->routes, this->random, this->hooks())
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.routes = {{"feed", this->route, {{"s1", 1}}, RequestKind::Idempotent}};
        this->routes.update(std::make_shared<const Configuration>(configuration), at(0));
        std::vector<RegistryEntry> entries;
        for (std::uint32_t i = 0; i < 9; ++i) {
            UpstreamEntry entry;
            entry.name = "u-" + std::to_string(i);
            entry.address = Endpoint{0x0a000001U + i, 80};
            entry.service = "s1";
            entry.domain = std::string(1, static_cast<char>('a' + i % 3));
            entries.push_back({entry, 1});
        }
        this->directory.replaceAll(entries, at(0));
    }

    /** \brief Sends a request on the idle flow and runs until \a endMs, in steps of 5 ms. */
    void sendRequest(UpstreamIndex upstream, int endMs)
    {
        const std::uint32_t tag = this->directory.at(upstream).flowTag;
        FlowPacket packet{};
        packet.caller = Endpoint{0x64400001U, 1'025};
        packet.route = this->route;
        packet.flowTag = tag;
        packet.sequence = 100;
        packet.acknowledged = 500;
        static_cast<void>(this->steering.decide(packet, at(0)));
        packet.dataBytes = 50;
        for (this->now = requestAtMs; this->now < endMs; this->now += 5) {
            const int elapsed = this->now - requestAtMs;
            const bool sends = elapsed == 0 || elapsed == 200 || elapsed == 600;
            if (sends && this->steering.decide(packet, at(this->now)).action == Action::Reset)
                ++this->resets;
            this->steering.tick(at(this->now));
            this->endProbes();
        }
    }

    unsigned resets = 0;

private:
    using Action = SteeringDecision::Action;

    struct Probe
    {
        UpstreamIndex upstream;
        int startedAt;
        bool isReference;
        bool connects;
    };

    void start(UpstreamIndex upstream, bool isReference)
    {
        this->probes.push_back({upstream, this->now, isReference, this->link(upstream, this->now)});
    }

    void endProbes()
    {
        std::vector<Probe> pending;
        for (const Probe &probe : std::exchange(this->probes, {})) {
            const int duration = probe.connects ? 1 : probeTimeoutMs;
            if (this->now - probe.startedAt < duration) {
                pending.push_back(probe);
                continue;
            }
            const ProbeResult result
                = probe.connects ? ProbeResult::Connected : ProbeResult::TimedOut;
            if (probe.isReference)
                this->steering.onReferenceResult(probe.upstream, result, at(probe.startedAt),
                                                 at(this->now));
            else
                this->steering.onProbeResult(probe.upstream, result, at(probe.startedAt),
                                             at(this->now));
        }
        this->probes.insert(this->probes.end(), pending.begin(), pending.end());
    }

    SteeringHooks hooks()
    {
        SteeringHooks result;
        result.startProbe = [this](UpstreamIndex upstream) {
            this->start(upstream, false);
        };
        result.startReferenceProbe = [this](UpstreamIndex upstream) {
            this->start(upstream, true);
        };
        result.isBudgetSharer = [](std::string_view, unsigned) {
            return true;
        };
        result.verifyRegistry = [] {
        };
        result.registryConfirmedAt = [] {
            return std::optional<TimePoint>();
        };
        result.resetFlow = [this](const FlowPacket &, UpstreamIndex) {
            ++this->resets;
        };
        return result;
    }

    const Endpoint route = *Endpoint::parse("198.18.0.1:8443");
    Link link;
    UpstreamDirectory directory{{}};
    RouteTable routes;
    Random random{1};
    std::vector<Probe> probes;
    int now = 0;
    PacketSteering steering;
};

} // namespace

// Guards against resets of flows whose upstream works: a view update congests the link of an
// instance that is idle, so that it has no answer from anyone for a while.
TEST_CASE("an idle instance with a congested link resets no open flow", "[CongestedLink]")
{
    struct Case
    {
        const char *what;
        std::pair<int, int> congested; //!< From and until, in ms after the request.
        bool upstreamDown;
        unsigned resets; //!< At least.
    };
    const auto test = GENERATE(values<Case>({
        {"congested for a short time", {0, 300}, false, 0},
        {"congested for longer than a probe interval", {0, 900}, false, 0},
        {"congested from the first probe on", {110, 800}, false, 0},
        {"congested for seconds", {-500, 3'000}, false, 0},
        {"the upstream is down, the link is free", {0, 0}, true, 1},
    }));
    INFO(test.what);
    const UpstreamIndex subject = 0;
    IdleInstance instance([&](UpstreamIndex upstream, int ms) {
        const int elapsed = ms - requestAtMs;
        const bool congested = elapsed >= test.congested.first && elapsed < test.congested.second;
        return !congested && !(test.upstreamDown && upstream == subject);
    });
    instance.sendRequest(subject, requestAtMs + 5'000);
    CHECK((instance.resets > 0) == (test.resets > 0));
}
