#include "ejection.h"
#include "placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

/** \brief One instance's policy over upstreams of one service. */
class EjectionFixture
{
public:
    explicit EjectionFixture(std::size_t upstreams)
        : policy(this->directory, this->counters,
                 {[this](const EjectionChange &change) { this->changes.push_back(change); },
                  [this](std::string_view) { return this->trialRank; },
                  [this](UpstreamIndex upstream, const OutcomeCounts &counts) {
                      this->reported.push_back({upstream, counts});
                  }})
    {
        for (std::size_t i = 0; i < upstreams; ++i)
            this->put(i, 1);
    }

    void put(std::size_t index, std::int64_t startedAtMs)
    {
        UpstreamEntry entry;
        entry.name = "u-" + std::to_string(index);
        entry.wireId = 100 * static_cast<std::uint64_t>(startedAtMs) + index;
        entry.address = Endpoint{0x0a000001U + static_cast<std::uint32_t>(index), 80};
        entry.service = "s1";
        entry.domain = "a";
        entry.slots = 2;
        entry.startedAtMs = startedAtMs;
        this->directory.update(std::vector<RegistryChange>{{entry.name, ++this->revision, entry}},
                               at(0));
    }

    /** \brief Observes the requests of one upstream, failures first. */
    void observe(UpstreamIndex upstream, int failures, int answers, int ms)
    {
        for (int i = 0; i < failures + answers; ++i) {
            const auto outcome = i < failures ? RequestOutcome::Late : RequestOutcome::Answered;
            this->policy.observe({upstream, {}, outcome, {}}, at(ms));
        }
    }

    /** \brief Observes requests of each upstream from \a first on. */
    void observeFrom(UpstreamIndex first, int failures, int answers, int ms)
    {
        for (UpstreamIndex i = first; i < this->directory.size(); ++i)
            this->observe(i, failures, answers, ms);
    }

    [[nodiscard]] std::set<UpstreamIndex> ejected() const
    {
        std::set<UpstreamIndex> result;
        for (UpstreamIndex i = 0; i < this->directory.size(); ++i) {
            if (this->directory.at(i).ejection.ejected)
                result.insert(i);
        }
        return result;
    }

    /** \returns when the next trial of the upstream is due, in ms. */
    [[nodiscard]] std::int64_t trialAt(UpstreamIndex upstream) const
    {
        return toMilliseconds(this->directory.at(upstream).ejection.nextTrial - at(0));
    }

    UpstreamDirectory directory{[this](const DirectoryChange &change) {
        if (change.kind == DirectoryChange::Kind::Restarted)
            this->policy.forget(change.upstream);
    }};
    Counters counters;
    std::vector<EjectionChange> changes;
    std::vector<std::pair<UpstreamIndex, OutcomeCounts>> reported;
    unsigned trialRank = 0;
    std::uint64_t revision = 0;
    EjectionPolicy policy;
};

} // namespace

// Guards against an upstream that keeps its requests although it fails them, and against the
// ejection of upstreams that fail by chance or no more often than the others.
TEST_CASE("an upstream that fails more often than the others is ejected", "[EjectionPolicy]")
{
    struct Row
    {
        const char *name;
        std::size_t upstreams;
        std::function<void(EjectionFixture &fixture)> play;
        std::set<UpstreamIndex> ejected;
    };
    const auto row = GENERATE(values<Row>({
        {"no requests", 10, [](EjectionFixture &) {}, {}},
        {"a single failure",
         10,
         [](EjectionFixture &f) {
             f.observeFrom(1, 0, 2, 0);
             f.observe(0, 1, 0, 0);
         },
         {}},
        {"two failures of two requests",
         10,
         [](EjectionFixture &f) {
             f.observeFrom(1, 0, 2, 0);
             f.observe(0, 1, 0, 0);
             f.observe(0, 1, 0, 900);
         },
         {0}},
        {"two failures, the first of which is too old",
         10,
         [](EjectionFixture &f) {
             f.observe(0, 1, 0, 0);
             f.observeFrom(1, 0, 2, 3'000);
             f.observe(0, 1, 0, 3'600);
         },
         {}},
        {"two failures and nothing to compare with",
         10,
         [](EjectionFixture &f) { f.observe(0, 2, 0, 0); },
         {}},
        {"40 % of the requests hang",
         10,
         [](EjectionFixture &f) {
             f.observeFrom(1, 0, 4, 0);
             f.observe(0, 0, 3, 0);
             f.observe(0, 2, 0, 500);
         },
         {0}},
        {"fewer than one request in ten fails",
         10,
         [](EjectionFixture &f) {
             f.observeFrom(1, 0, 20, 0);
             f.observe(0, 0, 20, 0);
             f.observe(0, 2, 0, 500);
         },
         {}},
        {"the others fail a third as often",
         10,
         [](EjectionFixture &f) {
             f.observeFrom(1, 0, 3, 0);
             f.observeFrom(1, 1, 0, 0);
             f.observe(0, 0, 3, 0);
             f.observe(0, 3, 0, 500);
         },
         {}},
        {"all fail",
         10,
         [](EjectionFixture &f) {
             for (int ms = 0; ms < 2'000; ms += 100)
                 f.observeFrom(0, 1, 0, ms);
         },
         {}},
        {"of two upstreams one fails",
         2,
         [](EjectionFixture &f) {
             f.observeFrom(1, 0, 20, 0);
             f.observe(0, 5, 0, 0);
         },
         {}},
        {"of three upstreams two fail",
         3,
         [](EjectionFixture &f) {
             f.observeFrom(2, 0, 40, 0);
             f.observe(0, 2, 0, 0);
             f.observe(1, 2, 0, 0);
         },
         {0}},
        {"of ten upstreams three fail",
         10,
         [](EjectionFixture &f) {
             f.observeFrom(3, 0, 20, 0);
             f.observe(0, 3, 0, 0);
             f.observe(1, 3, 0, 0);
             f.observe(2, 3, 0, 0);
         },
         {0, 1}},
    }));
    INFO(row.name);
    EjectionFixture fixture(row.upstreams);
    row.play(fixture);
    CHECK(fixture.ejected() == row.ejected);
    CHECK(fixture.policy.ejectedCount() == row.ejected.size());
    CHECK(fixture.counters.value("ejected") == row.ejected.size());
}

// Guards against a failing upstream that is not recognised since each instance sees only few of its
// requests, and against ejection because of a few failures among the requests of many instances.
TEST_CASE("the failures that other instances report count as well", "[EjectionPolicy]")
{
    struct Row
    {
        const char *name;
        int others;     //!< Requests of this instance to each other upstream.
        int ownAnswers; //!< Requests to the upstream that were answered.
        int ownFailures;
        OutcomeCounts reported;
        bool ejected;
    };
    const auto row = GENERATE(values<Row>({
        {"one own, enough reported", 2, 2, 1, {8, 20}, true},
        {"only reported", 2, 2, 0, {9, 20}, true},
        {"two instances with one failure each", 2, 2, 1, {1, 2}, false},
        {"few failures among the requests that no one reports", 2, 2, 0, {3, 6}, false},
        {"this instance has no requests to compare with", 0, 0, 0, {9, 20}, false},
    }));
    INFO(row.name);
    EjectionFixture fixture(40);
    fixture.policy.setInstancesPerDomain(23);
    fixture.observeFrom(1, 0, row.others, 0);
    fixture.observe(0, 0, row.ownAnswers, 0);
    fixture.observe(0, row.ownFailures, 0, 100);
    fixture.policy.addReported(0, row.reported, at(200));
    CHECK(fixture.ejected().contains(0) == row.ejected);
}

// Guards against a failing upstream that is not recognised since new flows avoid its load, so that
// it receives fewer requests than others.
TEST_CASE("the requests of the whole domain decide once they are known", "[EjectionPolicy]")
{
    struct Report
    {
        int ms;
        OutcomeCounts counts;
    };
    const auto [reports, ejected] = GENERATE(table<std::vector<Report>, bool>({
        {{{0, {1, 2}}, {300, {0, 3}}, {1'900, {2, 4}}}, false},
        {{{0, {1, 2}}, {300, {0, 3}}, {2'000, {2, 4}}}, true},
        {{{0, {1, 2}}, {300, {0, 3}}, {2'000, {1, 4}}}, false},
        {{{0, {1, 2}}, {300, {0, 40}}, {2'000, {2, 4}}}, false},
        {{{0, {1, 2}}, {3'900, {2, 4}}}, false},
    }));
    EjectionFixture fixture(40);
    fixture.policy.setInstancesPerDomain(23);
    for (const Report &report : reports) {
        fixture.observeFrom(1, 0, 1, report.ms);
        fixture.policy.addReported(0, report.counts, at(report.ms));
    }
    CHECK(fixture.ejected().contains(0) == ejected);
}

// Guards against an ejection that outlasts its reason, against one that ends by chance, and against
// an upstream that fails and returns so often that its failures go on.
TEST_CASE("an ejected upstream returns after three answers in a row", "[EjectionPolicy]")
{
    EjectionFixture fixture(10);
    fixture.observeFrom(1, 0, 5, 0);
    fixture.observe(0, 2, 0, 0);
    REQUIRE(fixture.ejected().contains(0));
    CHECK(fixture.trialAt(0) == 2'000);

    SECTION("answers on open flows before the end of the delay do not count")
    {
        fixture.observe(0, 0, 9, 1'900);
        CHECK(fixture.ejected().contains(0));
    }
    SECTION("answers without a trial do not count")
    {
        fixture.observe(0, 0, 9, 2'100);
        CHECK(fixture.ejected().contains(0));
        CHECK(fixture.trialAt(0) == 2'000);
    }
    SECTION("three answers")
    {
        fixture.policy.onTrialPlaced(0);
        fixture.observe(0, 0, 2, 2'100);
        CHECK(fixture.ejected().contains(0));
        fixture.observe(0, 0, 1, 2'200);
        CHECK(fixture.ejected().empty());
        CHECK(fixture.changes.back().kind == EjectionChange::Kind::Reinstated);
        // Failures from before the return do not count again.
        fixture.observe(0, 1, 0, 2'300);
        CHECK(fixture.ejected().empty());
    }
    SECTION("each failure doubles the delay up to 16 s")
    {
        int now = 2'000;
        for (const int delay : {4'000, 8'000, 16'000, 16'000}) {
            fixture.policy.onTrialPlaced(0);
            fixture.observe(0, 0, 2, now);
            fixture.observe(0, 1, 0, now);
            CHECK(fixture.trialAt(0) == now + delay);
            now += delay;
        }
    }
    SECTION("a return within 30 s does not reset the delay")
    {
        fixture.policy.onTrialPlaced(0);
        fixture.observe(0, 0, 3, 2'100);
        fixture.observeFrom(1, 0, 5, 20'000);
        fixture.observe(0, 2, 0, 20'000);
        CHECK(fixture.trialAt(0) == 24'000);
    }
    SECTION("after 30 s the delay starts anew")
    {
        fixture.policy.onTrialPlaced(0);
        fixture.observe(0, 0, 3, 2'100);
        fixture.observeFrom(1, 0, 5, 40'000);
        fixture.observe(0, 2, 0, 40'000);
        CHECK(fixture.trialAt(0) == 42'000);
    }
    SECTION("a restarted upstream begins without a record")
    {
        fixture.put(0, 2);
        CHECK(fixture.ejected().empty());
        fixture.observe(0, 1, 0, 500);
        CHECK(fixture.ejected().empty());
    }
    SECTION("a failure of the whole service ends ejections")
    {
        fixture.observeFrom(1, 5, 0, 1'000);
        CHECK(fixture.ejected().empty());
        CHECK(fixture.changes.back().evidence == EjectionEvidence::ServiceWide);
    }
    SECTION("an ejection without trials ends")
    {
        fixture.observeFrom(1, 0, 5, 33'000);
        fixture.observe(1, 2, 0, 33'000);
        CHECK(fixture.ejected() == std::set<UpstreamIndex>{1});
    }
}

// Guards against failures of which other instances do not learn, and against an instance with a
// fault of its own that reports it as one of the upstreams.
TEST_CASE("an instance tells failures with the requests since the last one", "[EjectionPolicy]")
{
    using Reported = std::vector<std::pair<UpstreamIndex, OutcomeCounts>>;
    EjectionFixture fixture(10);
    SECTION("requests since the last failure")
    {
        fixture.observe(0, 0, 3, 0);
        fixture.observe(0, 1, 0, 100);
        fixture.observe(0, 0, 2, 200);
        CHECK(fixture.reported == Reported{{0, {1, 4}}});
        fixture.observe(0, 1, 0, 300);
        CHECK(fixture.reported == Reported{{0, {1, 4}}, {0, {1, 3}}});
    }
    SECTION("requests when another instance has seen a failure")
    {
        fixture.observe(0, 0, 3, 0);
        fixture.policy.addReported(0, {0, 5}, at(50));
        CHECK(fixture.reported.empty());
        fixture.policy.addReported(0, {1, 2}, at(100));
        fixture.policy.addReported(0, {1, 2}, at(200));
        CHECK(fixture.reported == Reported{{0, {0, 3}}});
    }
    SECTION("old requests do not count")
    {
        fixture.observe(0, 0, 50, 0);
        fixture.observe(0, 1, 0, 9'000);
        CHECK(fixture.reported == Reported{{0, {1, 1}}});
    }
    SECTION("nothing while most upstreams fail")
    {
        fixture.observeFrom(1, 2, 1, 0);
        fixture.reported.clear();
        fixture.observe(0, 1, 0, 0);
        CHECK(fixture.reported.empty());
    }
}

// Guards against a restarted instance that tries each ejected upstream again, and against an
// ejection that goes on although the trials of another instance succeeded.
TEST_CASE("ejections of other instances are adopted and ended", "[EjectionPolicy]")
{
    EjectionFixture fixture(10);
    fixture.policy.adopt(0, milliseconds(1'500), at(0));
    CHECK(fixture.ejected() == std::set<UpstreamIndex>{0});
    CHECK(fixture.trialAt(0) == 1'500);
    CHECK(fixture.changes.back().evidence == EjectionEvidence::Reported);
    SECTION("the share of a service that is ejected stays bounded")
    {
        fixture.policy.adopt(1, milliseconds(1'500), at(0));
        fixture.policy.adopt(2, milliseconds(1'500), at(0));
        CHECK(fixture.ejected() == std::set<UpstreamIndex>{0, 1});
        CHECK(fixture.counters.value("ejection_limit") == 1);
    }
    SECTION("an ejection in force stays as it is")
    {
        fixture.policy.adopt(0, milliseconds(9'000), at(10));
        CHECK(fixture.trialAt(0) == 1'500);
    }
    SECTION("it is reported to the next instance with the rest of its delay")
    {
        std::vector<std::pair<UpstreamIndex, Duration>> seen;
        const auto visit = [&](UpstreamIndex upstream, Duration delay) {
            seen.emplace_back(upstream, delay);
        };
        fixture.policy.visitEjected(visit, at(500));
        fixture.policy.visitEjected(visit, at(5'000));
        CHECK(seen
              == std::vector<std::pair<UpstreamIndex, Duration>>{{0, milliseconds(1'000)},
                                                                 {0, milliseconds(1)}});
    }
    SECTION("a reported return ends it")
    {
        fixture.policy.onReportedReturn(0, at(1'000));
        fixture.policy.onReportedReturn(1, at(1'000));
        CHECK(fixture.ejected().empty());
        CHECK(fixture.changes.size() == 2);
    }
    SECTION("a reported failure after the delay starts it again")
    {
        fixture.policy.addReported(0, {1, 1}, at(1'400));
        CHECK(fixture.trialAt(0) == 1'500);
        fixture.policy.addReported(0, {1, 1}, at(1'600));
        CHECK(fixture.trialAt(0) == 1'600 + 4'000);
    }
}

// Guards against trials by all instances at the same time.
TEST_CASE("the instances of a domain place trials one after the other", "[EjectionPolicy]")
{
    const auto [rank, trialAt] = GENERATE(
        table<unsigned, std::int64_t>({{0, 2'000}, {1, 6'000}, {3, 14'000}, {40, 26'000}}));
    EjectionFixture fixture(10);
    fixture.trialRank = rank;
    fixture.observeFrom(1, 0, 5, 0);
    fixture.observe(0, 2, 0, 0);
    CHECK(fixture.trialAt(0) == trialAt);
}

// Guards against new flows to an ejected upstream, against flows that are refused because only
// ejected upstreams are left, and against more than one flow on trial at a time.
TEST_CASE("placement avoids ejected upstreams and places trials", "[EjectionPolicy]")
{
    EjectionFixture fixture(3);
    Random random(7);
    const DomainReachability reachability{{}};
    Placement placement(fixture.directory, reachability, "a", random);
    PlacementConstraints constraints;
    const auto choose = [&](int ms) {
        return placement.choose("s1", constraints, at(ms));
    };
    fixture.directory.at(0).ejection = {true, at(2'000)};
    fixture.directory.at(1).openFlows = 40;
    fixture.directory.at(2).openFlows = 40;
    for (int ms = 0; ms < 2'000; ms += 100)
        CHECK(choose(ms).upstream != 0);

    SECTION("an ejected upstream is better than a suspect one")
    {
        fixture.directory.at(1).ejection = {true, at(9'000)};
        fixture.directory.at(2).health.markSuspect(at(0));
        CHECK(choose(10).upstream != 2);
    }
    SECTION("one flow at a time is on trial")
    {
        const PlacementChoice trial = choose(2'000);
        CHECK(trial.upstream == 0);
        CHECK(trial.isTrial);
        for (int ms = 2'001; ms < 3'900; ms += 100)
            CHECK_FALSE(choose(ms).isTrial);
        CHECK(choose(4'000).isTrial);
    }
    SECTION("requests that run at most once are on trial later")
    {
        constraints.idempotent = false;
        CHECK_FALSE(choose(5'900).isTrial);
        CHECK(choose(6'000).isTrial);
    }
    SECTION("a caller that was not answered before takes no part")
    {
        const std::vector<UpstreamIndex> tried{1};
        constraints.tried = tried;
        CHECK_FALSE(choose(2'000).isTrial);
    }
}
