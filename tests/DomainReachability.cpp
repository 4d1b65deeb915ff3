#include "health/FailureDetector.h"
#include "reachability.h"
#include "support/SimulatedRuns.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

constexpr DomainIndex own = 0;
constexpr DomainIndex other = 1;

/** Upstreams from this index on are of another service. */
constexpr UpstreamIndex firstOfOtherService = 50;

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

/** \brief Something that the instance observes of a domain. */
struct Event
{
    enum class Kind { Acknowledged, Connected, Failed, ReferenceFailed, Paused };

    int ms;
    Kind kind;
    DomainIndex domain = other;
    UpstreamIndex upstream = 0;
    int startedAt = 0;
    ProbeResult result = ProbeResult::TimedOut;
};

using Kind = Event::Kind;

struct Case
{
    const char *what;
    std::size_t registered; //!< In the domain in question.
    std::vector<Event> events;
    bool unreachable;
    DomainIndex domain = other;
    std::size_t services = 1; //!< In the domain in question.
};

void play(DomainReachability &reachability, const Case &test)
{
    for (const Event &event : test.events) {
        const FailedProbe probe{
            event.upstream, event.result, at(event.startedAt), event.kind == Kind::ReferenceFailed,
            event.upstream >= firstOfOtherService ? ServiceIndex{1} : ServiceIndex{0}};
        switch (event.kind) {
        case Kind::Acknowledged:
            reachability.onAnswer(event.domain, at(event.ms));
            break;
        case Kind::Connected:
            reachability.onConnected(event.domain, at(event.startedAt), at(event.ms));
            break;
        case Kind::Failed:
        case Kind::ReferenceFailed:
            reachability.onProbeFailed(event.domain, probe, {test.registered, test.services},
                                       at(event.ms));
            break;
        case Kind::Paused:
            reachability.discardFailures();
            break;
        }
    }
}

} // namespace

// Guards against a partition that is not noticed, and against a reachable domain that is not used.
TEST_CASE("the reachability of a domain follows from probes of several upstreams",
          "[DomainReachability]")
{
    constexpr ProbeResult refused = ProbeResult::Refused;
    const auto test = GENERATE(values<Case>({
        {"partition by timeouts",
         75,
         {{0, Kind::Acknowledged},
          {53, Kind::Connected, own, 9, 50},
          {130, Kind::Failed, other, 1, 20},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::ReferenceFailed, other, 2, 50},
          {160, Kind::ReferenceFailed, other, 3, 50}},
         true},
        {"partition by refusals",
         75,
         {{0, Kind::Acknowledged},
          {22, Kind::Failed, other, 1, 20, refused},
          {24, Kind::ReferenceFailed, other, 2, 22, refused},
          {24, Kind::ReferenceFailed, other, 3, 22, refused},
          {122, Kind::Failed, other, 1, 120, refused},
          {123, Kind::Connected, own, 9, 120}},
         true},
        {"refusals of one service of two",
         75,
         {{0, Kind::Acknowledged},
          {22, Kind::Failed, other, 1, 20, refused},
          {24, Kind::ReferenceFailed, other, 2, 22, refused},
          {24, Kind::ReferenceFailed, other, 3, 22, refused},
          {122, Kind::Failed, other, 1, 120, refused},
          {123, Kind::Connected, own, 9, 120}},
         false,
         other,
         2},
        {"refusals of both services, the other one last",
         75,
         {{0, Kind::Acknowledged},
          {22, Kind::Failed, other, 1, 20, refused},
          {24, Kind::ReferenceFailed, other, 2, 22, refused},
          {24, Kind::ReferenceFailed, other, 3, 22, refused},
          {25, Kind::ReferenceFailed, other, 51, 23, refused},
          {122, Kind::Failed, other, 1, 120, refused},
          {123, Kind::Connected, own, 9, 120}},
         true,
         other,
         2},
        {"refusals while the domain answered a moment ago",
         75,
         {{22, Kind::Acknowledged},
          {23, Kind::Connected, own, 9, 22},
          {25, Kind::ReferenceFailed, other, 2, 24, refused},
          {25, Kind::ReferenceFailed, other, 3, 24, refused},
          {26, Kind::Failed, other, 1, 24, refused}},
         false},
        {"one dead upstream",
         75,
         {{0, Kind::Acknowledged},
          {53, Kind::Connected, own, 9, 50},
          {130, Kind::Failed, other, 1, 20},
          {160, Kind::Failed, other, 1, 50},
          {300, Kind::Connected, own, 9, 290},
          {400, Kind::Failed, other, 1, 290}},
         false},
        {"three dead upstreams in a domain whose others answer",
         75,
         {{0, Kind::Acknowledged},
          {53, Kind::Connected, own, 9, 50},
          {130, Kind::Failed, other, 1, 20},
          {130, Kind::Failed, other, 2, 20},
          {140, Kind::Acknowledged},
          {160, Kind::Failed, other, 3, 50},
          {165, Kind::Failed, other, 1, 55},
          {165, Kind::Failed, other, 2, 55}},
         false},
        {"three dead upstreams, no other was probed",
         75,
         {{0, Kind::Acknowledged},
          {53, Kind::Connected, own, 9, 50},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::Failed, other, 2, 50},
          {160, Kind::Failed, other, 3, 50},
          {170, Kind::Failed, other, 1, 60}},
         false},
        {"lossy link: one probe of each upstream is lost",
         75,
         {{0, Kind::Acknowledged},
          {53, Kind::Connected, own, 9, 50},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::ReferenceFailed, other, 2, 50},
          {160, Kind::ReferenceFailed, other, 3, 50}},
         false},
        {"lossy link: single probes are lost, minutes apart",
         75,
         {{0, Kind::Acknowledged},
          {60'160, Kind::ReferenceFailed, other, 1, 60'050},
          {120'160, Kind::ReferenceFailed, other, 2, 120'050},
          {180'160, Kind::ReferenceFailed, other, 3, 180'050},
          {240'053, Kind::Connected, own, 9, 240'050},
          {240'160, Kind::Failed, other, 4, 240'050}},
         false},
        {"paused instance",
         75,
         {{0, Kind::Acknowledged},
          {53, Kind::Connected, own, 9, 50},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::ReferenceFailed, other, 2, 50},
          {3'000, Kind::Paused},
          {3'001, Kind::ReferenceFailed, other, 3, 50}},
         false},
        {"isolated instance without any answer",
         75,
         {{0, Kind::Acknowledged},
          {0, Kind::Acknowledged, own},
          {130, Kind::Failed, other, 1, 20},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::ReferenceFailed, other, 2, 50},
          {160, Kind::ReferenceFailed, other, 3, 50},
          {160, Kind::ReferenceFailed, own, 9, 50}},
         false},
        {"heal by a probe that connects",
         75,
         {{53, Kind::Connected, own, 9, 50},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::ReferenceFailed, other, 2, 50},
          {160, Kind::ReferenceFailed, other, 3, 50},
          {412, Kind::Connected, other, 4, 410}},
         false},
        {"heal by an acknowledged answer",
         75,
         {{53, Kind::Connected, own, 9, 50},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::Failed, other, 1, 50},
          {160, Kind::ReferenceFailed, other, 2, 50},
          {160, Kind::ReferenceFailed, other, 3, 50},
          {300, Kind::Acknowledged}},
         false},
        {"domain with one upstream: one probe",
         1,
         {{53, Kind::Connected, own, 9, 50}, {160, Kind::Failed, other, 1, 50}},
         false},
        {"domain with one upstream: two probes",
         1,
         {{53, Kind::Connected, own, 9, 50},
          {130, Kind::Failed, other, 1, 20},
          {160, Kind::Failed, other, 1, 50}},
         true},
        {"own domain",
         75,
         {{0, Kind::Acknowledged, own},
          {53, Kind::Connected, other, 9, 50},
          {130, Kind::Failed, own, 1, 20},
          {160, Kind::Failed, own, 1, 50},
          {160, Kind::ReferenceFailed, own, 2, 50},
          {160, Kind::ReferenceFailed, own, 3, 50}},
         true,
         own},
    }));
    INFO(test.what);
    std::size_t changes = 0;
    DomainReachability reachability([&](const ReachabilityChange &, TimePoint) { ++changes; });
    play(reachability, test);
    CHECK(reachability.isUnreachable(test.domain) == test.unreachable);
    CHECK(reachability.unreachableCount() == (test.unreachable ? 1 : 0));
    CHECK(changes <= 2);
}

// Guards against flows that are placed in a partitioned domain before the verdict, and against a
// domain that is avoided although it answers or although no other answers either.
TEST_CASE("a domain is in doubt until one of its probed upstreams answers", "[DomainReachability]")
{
    DomainReachability reachability({});
    CHECK_FALSE(reachability.isInDoubt(other, at(0)));
    reachability.onAnswer(other, at(0));
    reachability.onProbesStarted(other, at(100));
    CHECK(reachability.isInDoubt(other, at(101)));
    CHECK_FALSE(reachability.isInDoubt(own, at(101)));
    CHECK_FALSE(reachability.isInDoubt(other, at(300)));
    reachability.onConnected(other, at(100), at(103));
    CHECK_FALSE(reachability.isInDoubt(other, at(104)));
}

namespace {

/** \brief Failure detector of an instance in domain "a", with upstreams in three domains whose
 * answers depend on the links. */
class DetectorFixture
{
public:
    static constexpr unsigned perDomain = 20;

    DetectorFixture()
        : detector(this->directory, this->hooks(), "a")
    {
        std::vector<RegistryChange> changes;
        for (const char *domain : {"a", "b", "c"}) {
            for (unsigned i = 0; i < perDomain; ++i)
                changes.push_back(entryOf(domain, i));
        }
        this->directory.update(changes, at(0));
        for (UpstreamIndex index = 0; index < this->directory.size(); ++index)
            this->detector.onAnswer(index, at(0));
    }

    /** \brief Advances the clock in steps of 1 ms; probes connect or are refused after 3 ms and
     * time out after 110 ms. */
    void runUntil(int end)
    {
        for (; this->now < end; ++this->now) {
            if (this->everyStep)
                this->everyStep(this->now);
            this->detector.tick(at(this->now));
            this->completeProbes();
        }
    }

    /** \brief Sends a request to the upstream, whose answer is due after 120 ms. */
    void sendRequest(UpstreamIndex upstream)
    {
        ++this->directory.at(upstream).outstanding;
        this->detector.expectAnswer(upstream, at(this->now), milliseconds(120));
    }

    [[nodiscard]] bool isUnreachable(const char *domain) const
    {
        return this->detector.reachability().isUnreachable(domainIndex(domain));
    }

    [[nodiscard]] bool isDown(UpstreamIndex upstream) const
    {
        return this->directory.at(upstream).health.isConfirmedDown();
    }

    static UpstreamIndex first(const char *domain) { return domainIndex(domain) * perDomain; }

    UpstreamDirectory directory{{}};
    FailureDetector detector;
    std::function<ProbeResult(UpstreamIndex upstream)> link = [](UpstreamIndex) {
        return ProbeResult::Connected;
    };
    std::function<void(int ms)> everyStep;
    int now = 0;
    std::size_t probes = 0;
    std::size_t referenceProbes = 0;
    std::vector<UpstreamIndex> confirmed;

private:
    struct Probe
    {
        UpstreamIndex upstream;
        int startedAt;
        bool isReference;
        ProbeResult result;
    };

    static DomainIndex domainIndex(const char *domain)
    {
        return static_cast<DomainIndex>(*domain - 'a');
    }

    static RegistryChange entryOf(const char *domain, unsigned number)
    {
        UpstreamEntry entry;
        entry.name = std::string(domain) + '-' + std::to_string(number);
        entry.service = "s1";
        entry.domain = domain;
        return {entry.name, 1, entry};
    }

    FailureDetectorHooks hooks()
    {
        return {[this](UpstreamIndex upstream) {
                    ++this->probes;
                    this->open.push_back({upstream, this->now, false, this->link(upstream)});
                },
                [this](UpstreamIndex upstream) {
                    ++this->referenceProbes;
                    this->open.push_back({upstream, this->now, true, this->link(upstream)});
                },
                {},
                [this](UpstreamIndex upstream) {
                    this->confirmed.push_back(upstream);
                }};
    }

    void completeProbes()
    {
        const std::vector<Probe> pending = std::exchange(this->open, {});
        for (const Probe &probe : pending) {
            const int duration = probe.result == ProbeResult::TimedOut ? 110 : 3;
            if (this->now - probe.startedAt < duration)
                this->open.push_back(probe);
            else if (probe.isReference)
                this->detector.onReferenceResult(probe.upstream, probe.result, at(probe.startedAt),
                                                 at(this->now));
            else
                this->detector.onProbeResult(probe.upstream, probe.result, at(probe.startedAt),
                                             at(this->now));
        }
    }

    std::vector<Probe> open;
};

} // namespace

// Guards against flows that wait for each upstream of a partitioned domain in turn, against probes
// of all its upstreams, and against upstreams that stay excluded after it has healed.
TEST_CASE("one overdue answer reveals a partition, one probe its end", "[DomainReachability]")
{
    const auto [result, verdictBy] = GENERATE(
        table<ProbeResult, int>({{ProbeResult::TimedOut, 1'300}, {ProbeResult::Refused, 1'240}}));
    const char *cut = GENERATE("a", "b");
    INFO(toString(result == ProbeResult::TimedOut ? Liveness::Unreachable : Liveness::Refusing));
    INFO(cut);
    DetectorFixture fixture;
    const UpstreamIndex subject = DetectorFixture::first(cut);
    const bool ownDomain = subject == 0;
    fixture.runUntil(1'000);
    fixture.link = [&, result = result](UpstreamIndex upstream) {
        const bool isCut
            = upstream / DetectorFixture::perDomain == subject / DetectorFixture::perDomain;
        return isCut ? result : ProbeResult::Connected;
    };
    for (UpstreamIndex i = 0; i < 5; ++i)
        fixture.sendRequest(subject + i);
    fixture.runUntil(verdictBy);
    CHECK(fixture.isUnreachable(cut));
    CHECK_FALSE(fixture.isUnreachable("c"));
    CHECK(fixture.isUnreachable("a") == ownDomain);
    // Upstreams with pending requests are proven down one by one, the rest is left alone.
    fixture.runUntil(1'500);
    CHECK(std::set<UpstreamIndex>(fixture.confirmed.begin(), fixture.confirmed.end())
          == std::set<UpstreamIndex>{subject, subject + 1, subject + 2, subject + 3, subject + 4});
    const std::size_t probesBefore = fixture.probes + fixture.referenceProbes;
    fixture.runUntil(5'500);
    CHECK(fixture.probes + fixture.referenceProbes - probesBefore <= 17);
    // A request on an open flow is not left waiting for an overdue answer.
    fixture.sendRequest(subject + 9);
    fixture.runUntil(5'700);
    CHECK(fixture.isDown(subject + 9));
    fixture.link = [](UpstreamIndex) {
        return ProbeResult::Connected;
    };
    fixture.runUntil(5'960);
    CHECK_FALSE(fixture.isUnreachable(cut));
    for (UpstreamIndex i = 0; i < DetectorFixture::perDomain; ++i)
        CHECK(fixture.directory.at(subject + i).health.liveness() == Liveness::Alive);
}

// Guards against a reachable domain that is excluded for a fault of a few upstreams or a bad link.
TEST_CASE("a domain stays reachable while it answers", "[DomainReachability]")
{
    struct FaultCase
    {
        const char *what;
        ProbeResult result;
        unsigned failing; //!< Upstreams whose probes always fail.
        double lossShare; //!< Of the probes to all other upstreams.
    };
    const auto test = GENERATE(values<FaultCase>({
        {"one dead upstream", ProbeResult::TimedOut, 1, 0.0},
        {"three dead upstreams", ProbeResult::TimedOut, 3, 0.0},
        {"three refusing upstreams", ProbeResult::Refused, 3, 0.0},
        {"a slow upstream accepts connections", ProbeResult::Connected, 1, 0.0},
        {"a link that loses 5 % of packets", ProbeResult::Connected, 0, 0.1},
        {"a dead upstream and a lossy link", ProbeResult::TimedOut, 1, 0.1},
    }));
    INFO(test.what);
    DetectorFixture fixture;
    Random random(7);
    const UpstreamIndex subject = DetectorFixture::first("b");
    fixture.link = [&](UpstreamIndex upstream) {
        if (upstream >= subject && upstream < subject + test.failing)
            return test.result;
        const bool lost = std::uniform_real_distribution(0.0, 1.0)(random) < test.lossShare;
        return lost ? ProbeResult::TimedOut : ProbeResult::Connected;
    };
    // No flow of the domain is answered: only probes can show that it is reachable.
    std::size_t unreachableSteps = 0;
    fixture.everyStep = [&](int ms) {
        if (ms % 200 == 0)
            fixture.sendRequest(subject + static_cast<UpstreamIndex>(ms / 200) % 5);
        unreachableSteps += fixture.isUnreachable("b") ? 1 : 0;
    };
    fixture.runUntil(60'000);
    CHECK(unreachableSteps == 0);
}

// Guards against an isolated instance that excludes all domains, and against one that stays without
// upstreams after a pause.
TEST_CASE("an instance without any answer excludes no domain", "[DomainReachability]")
{
    DetectorFixture fixture;
    fixture.link = [](UpstreamIndex) {
        return ProbeResult::TimedOut;
    };
    fixture.everyStep = [&](int ms) {
        if (ms % 50 == 0)
            fixture.sendRequest(static_cast<UpstreamIndex>(ms / 50) % fixture.directory.size());
    };
    fixture.runUntil(5'000);
    for (const char *domain : {"a", "b", "c"})
        CHECK_FALSE(fixture.isUnreachable(domain));
}

// Guards against requests that are late since their flows are placed in a partitioned domain:
// without a verdict on the domain, 8 % of the requests miss their objective.
TEST_CASE("few requests are late while a domain is partitioned", "[DomainReachability]")
{
    using simulation::RequestResult;
    simulation::RunSettings settings = test::sampleRunSettings(std::chrono::seconds(12));
    settings.instancesPerDomain = 8;
    settings.services[0].upstreamsPerDomain = 40;
    settings.classes[0].perSecond = 300.0;
    settings.classes[0].keepsFlow = false;
    const std::vector<simulation::PlannedFault> faults{
        {simulation::FaultKind::DomainCut, test::faultStart, std::chrono::seconds(6), 0.4}};
    std::uint64_t total = 0;
    std::uint64_t notInAim = 0;
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const simulation::RunReport report = test::simulate(settings, faults, seed);
        CHECK(report.brokenTotal() == 0);
        const simulation::RequestCounts counts = report.between(3, 9);
        total += counts.total();
        notInAim += counts.total() - counts.of(RequestResult::InAim);
    }
    INFO(notInAim << " of " << total);
    CHECK(notInAim * 50 < total);
}
