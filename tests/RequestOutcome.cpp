#include "outcome.h"
#include "steering/FlowObserver.h"

#include <catch2/catch.hpp>

#include <functional>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t usualBytes = 2'000;
constexpr Duration objective = milliseconds(400);

const Endpoint route = *Endpoint::parse("198.18.0.1:8443");

TimePoint at(int ms)
{
    return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

/** \brief Plays the packets of callers to one upstream and records the outcomes. */
class OutcomeFixture
{
public:
    OutcomeFixture()
        : detector(this->directory, {[](UpstreamIndex) {}, [](UpstreamIndex) {}, {}, {}})
        , observer(1'000, this->directory, this->detector,
                   {{}, {}, [this](const RequestObservation &observation) {
                        this->seen.push_back(observation);
                    }})
    {
        UpstreamEntry entry;
        entry.name = "u-1";
        entry.service = "s1";
        this->directory.update(std::vector<RegistryChange>{{"u-1", 1, entry}}, at(0));
    }

    /** \brief Sends a packet of the flow from \a port; the caller's sequence numbers start at 100,
     * those of the upstream at 500. */
    void packet(std::uint16_t port, int ms, std::uint32_t answered, std::uint16_t bytes,
                std::uint32_t sent, bool fin = false)
    {
        FlowPacket packet;
        packet.caller = {0x64400007, port};
        packet.route = route;
        packet.sequence = 100 + sent;
        packet.acknowledged = 500 + answered;
        packet.dataBytes = bytes;
        packet.fin = fin;
        FlowState *flow = this->observer.findOrAdd({packet.caller, route}, at(ms));
        flow->objective = objective;
        this->observer.observe(packet, *flow, 0, at(ms));
    }

    /** \brief Plays a flow with one request, answered with \a bytes after 30 ms. */
    void exchange(std::uint16_t port, int ms, std::uint32_t bytes)
    {
        this->packet(port, ms, 0, 0, 0);
        this->packet(port, ms, 0, 300, 0);
        this->packet(port, ms + 30, bytes, 0, 300);
        this->packet(port, ms + 31, bytes, 0, 300, true);
    }

    /** \brief Lets the usual size of an answer become known. */
    void learnUsualSize()
    {
        for (std::uint16_t port = 1; port <= 20; ++port)
            this->exchange(port, port, usualBytes);
        this->seen.clear();
    }

    std::vector<RequestObservation> seen;
    UpstreamDirectory directory{{}};
    FailureDetector detector;
    FlowObserver observer;
};

} // namespace

// Guards against refusals and failures that count as answers, and against usual answers that count
// as failures.
TEST_CASE("the outcome of a request follows from its caller's packets", "[RequestOutcome]")
{
    struct Row
    {
        const char *name;
        std::function<void(OutcomeFixture &fixture)> play;
        std::vector<RequestOutcome> outcomes;
    };
    const auto row = GENERATE(values<Row>({
        {"a usual answer",
         [](OutcomeFixture &f) { f.exchange(99, 1'000, usualBytes); },
         {RequestOutcome::Answered}},
        {"half of the usual bytes",
         [](OutcomeFixture &f) { f.exchange(99, 1'000, 1'000); },
         {RequestOutcome::Answered}},
        {"a status line and no content",
         [](OutcomeFixture &f) { f.exchange(99, 1'000, 100); },
         {RequestOutcome::Short}},
        {"no answer before the caller closes",
         [](OutcomeFixture &f) {
             f.packet(99, 1'000, 0, 0, 0);
             f.packet(99, 1'000, 0, 300, 0);
             f.packet(99, 1'200, 0, 0, 300, true);
         },
         {RequestOutcome::Unanswered}},
        {"no answer before the caller resets",
         [](OutcomeFixture &f) {
             f.packet(99, 1'000, 0, 0, 0);
             f.packet(99, 1'000, 0, 300, 0);
             f.observer.onCallerReset({{0x64400007, 99}, route}, at(1'100));
         },
         {RequestOutcome::Unanswered}},
        {"an answer after the objective counts once",
         [](OutcomeFixture &f) {
             f.packet(99, 1'000, 0, 0, 0);
             f.packet(99, 1'000, 0, 300, 0);
             f.observer.reportLate(at(1'399), false);
             f.observer.reportLate(at(1'401), false);
             f.packet(99, 1'500, usualBytes, 0, 300);
             f.packet(99, 1'501, usualBytes, 0, 300, true);
         },
         {RequestOutcome::Late}},
        {"a paused instance may have the answer unread",
         [](OutcomeFixture &f) {
             f.packet(99, 1'000, 0, 0, 0);
             f.packet(99, 1'000, 0, 300, 0);
             f.observer.reportLate(at(3'000), true);
             f.packet(99, 3'001, usualBytes, 0, 300);
             f.packet(99, 3'002, usualBytes, 0, 300, true);
         },
         {RequestOutcome::Answered}},
        {"two requests on one flow, the second refused",
         [](OutcomeFixture &f) {
             f.packet(99, 1'000, 0, 0, 0);
             f.packet(99, 1'000, 0, 300, 0);
             f.packet(99, 1'030, usualBytes, 0, 300);
             f.packet(99, 2'000, usualBytes, 300, 300);
             f.packet(99, 2'020, usualBytes + 100, 0, 600);
             f.packet(99, 2'021, usualBytes + 100, 0, 600, true);
         },
         {RequestOutcome::Answered, RequestOutcome::Short}},
    }));
    INFO(row.name);
    OutcomeFixture fixture;
    fixture.learnUsualSize();
    row.play(fixture);
    std::vector<RequestOutcome> outcomes;
    for (const RequestObservation &observation : fixture.seen)
        outcomes.push_back(observation.outcome);
    CHECK(outcomes == row.outcomes);
}

// Guards against an average that a few seconds of refusals pull down to the size of a refusal.
TEST_CASE("refusals stay short while an upstream refuses for long", "[RequestOutcome]")
{
    AnswerSizes sizes;
    for (int i = 0; i < 20; ++i)
        sizes.add(route, usualBytes);
    for (int i = 0; i < 300; ++i)
        CHECK(sizes.add(route, 100));
    CHECK_FALSE(sizes.add(route, usualBytes));
}
