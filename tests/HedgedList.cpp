#include "view/HedgedList.h"

#include "simulation/EventLoop.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace bulrushgap::balance;
using std::chrono::milliseconds;

namespace {

/** \brief How a source treats a list. */
struct Behaviour
{
    std::optional<milliseconds> delay; //!< Empty for a source that never answers.
    PlatformResult result = PlatformResult::Ok;
};

struct Outcome
{
    std::optional<ViewList> list;
    milliseconds time{0};
    std::size_t asked = 0;
};

/** \brief Requests one list; the revision of an answer is the number of its source, from 1.
 * \param arrivingUntil until when bytes of the first source's answer arrive, or nothing */
Outcome play(const std::vector<Behaviour> &sources, bool responding = false,
             std::optional<milliseconds> arrivingUntil = std::nullopt)
{
    simulation::EventLoop loop;
    const Scheduler scheduler = loop.scheduler();
    HedgedList::Plan plan;
    plan.delay = milliseconds(40);
    plan.respondingDelay = milliseconds(160);
    for (std::size_t number = 1; number <= sources.size(); ++number)
        plan.order.push_back({Endpoint{static_cast<std::uint32_t>(number), 1}, false, false});
    Outcome outcome;
    std::vector<HedgedList::ListHandler> pending; // Of sources that never answer.
    const TimePoint start = loop.now();
    HedgedList::start(scheduler, plan,
                      {[&](const ViewSource &source, HedgedList::ListHandler handler) {
                           ++outcome.asked;
                           const Behaviour &behaviour = sources[source.peer->address - 1];
                           if (!behaviour.delay) {
                               pending.push_back(std::move(handler));
                               return;
                           }
                           loop.after(*behaviour.delay, [handler = std::move(handler), &behaviour,
                                                         revision = source.peer->address] {
                               handler({behaviour.result, revision, {}, {}});
                           });
                       },
                       [responding](const ViewSource &) { return responding; },
                       [&](const ViewSource &source) {
                           return source.peer->address == 1 && arrivingUntil
                                  && loop.now() - start < *arrivingUntil;
                       }},
                      [&](ViewList list) {
                          CHECK_FALSE(outcome.list.has_value());
                          outcome.list = std::move(list);
                          outcome.time
                              = std::chrono::duration_cast<milliseconds>(loop.now() - start);
                      });
    loop.runFor(std::chrono::seconds(10));
    return outcome;
}

} // namespace

// Guards against a start that waits for a source which is down, slow or without a view, and against
// one that asks more sources than it needs.
TEST_CASE("the first usable answer of several sources is taken", "[HedgedList]")
{
    struct Case
    {
        std::vector<Behaviour> sources;
        PlatformResult result;
        std::uint64_t source;
        milliseconds latest;
        std::size_t asked;
    };
    const auto busy = PlatformResult::Busy;
    const auto unavailable = PlatformResult::Unavailable;
    const auto each = GENERATE_COPY(values<Case>({
        {{{milliseconds(5)}, {milliseconds(5)}}, PlatformResult::Ok, 1, milliseconds(5), 1},
        {{{std::nullopt}, {milliseconds(5)}}, PlatformResult::Ok, 2, milliseconds(150), 2},
        {{{milliseconds(400)}, {milliseconds(5)}}, PlatformResult::Ok, 2, milliseconds(150), 2},
        {{{milliseconds(200)}, {std::nullopt}}, PlatformResult::Ok, 1, milliseconds(200), 2},
        {{{milliseconds(1), unavailable}, {milliseconds(5)}},
         PlatformResult::Ok,
         2,
         milliseconds(6),
         2},
        {{{std::nullopt}, {std::nullopt}, {milliseconds(5)}},
         PlatformResult::Ok,
         3,
         milliseconds(300),
         3},
        {{{milliseconds(1), busy}, {milliseconds(1), unavailable}},
         unavailable,
         2,
         milliseconds(2),
         2},
    }));
    const Outcome outcome = play(each.sources);
    REQUIRE(outcome.list.has_value());
    CHECK(outcome.list->result == each.result);
    CHECK(outcome.list->revision == each.source);
    CHECK(outcome.time <= each.latest);
    CHECK(outcome.asked == each.asked);
}

// Guards against a long list that is requested from every source, although the first one responds.
TEST_CASE("a source that responds gets more time", "[HedgedList]")
{
    struct Case
    {
        milliseconds delay;
        bool responding;
        std::size_t asked;
    };
    const auto each = GENERATE(values<Case>({
        {milliseconds(100), true, 1},
        {milliseconds(100), false, 2},
        {milliseconds(300), true, 2},
    }));
    CHECK(play({{each.delay}, {milliseconds(500)}}, each.responding).asked == each.asked);
}

// Guards against a large list on a weak link that is requested from every source, so that all their
// answers share the link, and against one that stops arriving and is waited for.
TEST_CASE("no other source is asked while an answer goes on arriving", "[HedgedList]")
{
    struct Case
    {
        std::optional<milliseconds> delay; //!< Empty for an answer that stops in the middle.
        milliseconds arrivingUntil;
        std::size_t asked;
    };
    const auto each = GENERATE(values<Case>({
        {milliseconds(900), milliseconds(900), 1},
        {std::nullopt, milliseconds(300), 2},
    }));
    const Outcome outcome = play({{each.delay}, {milliseconds(5)}}, false, each.arrivingUntil);
    CHECK(outcome.asked == each.asked);
    CHECK(outcome.list.has_value());
}
