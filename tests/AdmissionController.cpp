#include "admission.h"

#include <catch2/catch.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start{1h};
constexpr ServiceId service{1};
constexpr UpstreamId upstream{1};

/** \brief Instances 1, 2, ... and upstreams 1, 2, ... with 2 slots in domains named by letter. */
Plan planOf(const std::string &instances, const std::string &upstreams)
{
    Plan plan;
    for (const char domain : {'x', 'y'})
        plan.domains.push_back({DomainId{static_cast<std::uint16_t>(domain)}, {domain}});
    for (const char domain : instances) {
        const auto id = static_cast<std::uint16_t>(plan.instances.size() + 1);
        plan.instances.push_back(
            {InstanceId{id}, {}, DomainId{static_cast<std::uint16_t>(domain)}, {}, {}, 1});
    }
    plan.services.push_back({service, "dispatch", {}, {}});
    for (const char domain : upstreams) {
        auto &list = plan.services.front().upstreams;
        const auto id = static_cast<std::uint16_t>(list.size() + 1);
        list.push_back(
            {UpstreamId{id}, {}, {}, DomainId{static_cast<std::uint16_t>(domain)}, fullWeight, 2});
    }
    return plan;
}

/** \brief A controller with what it needs, and shorthands for one service. */
struct Node
{
    explicit Node(std::uint16_t id, bool assumeBusy = false)
        : random(id)
        , controller(InstanceId{id}, 1, KeyedHash(7), settings(assumeBusy), random, counters)
    {}

    static AdmissionSettings settings(bool assumeBusy)
    {
        AdmissionSettings settings;
        settings.assumeBusyAtStart = assumeBusy;
        settings.queuePerService = 4;
        return settings;
    }
    AdmissionDecision admit(bool idempotent = true, Duration deadline = 1s, std::uint8_t hops = 0)
    {
        return this->controller.admit(
            {++this->handle, service, idempotent, this->now + deadline, hops}, this->now);
    }
    AdmissionController::Events answer(const DispatchId &id, AnswerOutcome outcome,
                                       std::optional<LoadReport> report = std::nullopt)
    {
        return this->controller.onAnswer(id, outcome, true, report, this->now);
    }
    /** \brief Answers one request of each upstream, so that both slots may be used. */
    void warmUp(int upstreams)
    {
        for (int i = 0; i < upstreams; ++i)
            this->answer(std::get<Dispatch>(this->admit()).id, AnswerOutcome::Success);
    }
    void advertise(std::uint16_t peer, std::uint16_t free)
    {
        const std::array slots{FreeSlots{service, free}};
        this->controller.onPeerSlots(InstanceId{peer}, slots, this->now);
    }

    Counters counters;
    Random random;
    AdmissionController controller;
    TimePoint now = start;
    std::uint64_t handle = 0;
};

template <typename Event>
std::vector<Event> only(const AdmissionController::Events &events)
{
    std::vector<Event> result;
    for (const AdmissionEvent &event : events)
        if (const auto *found = std::get_if<Event>(&event))
            result.push_back(*found);
    return result;
}

std::string describe(const AdmissionDecision &decision)
{
    if (std::holds_alternative<Dispatch>(decision))
        return "dispatch";
    if (std::holds_alternative<Queued>(decision))
        return "queued";
    if (const auto *relay = std::get_if<RelayTo>(&decision))
        return "relay " + std::to_string(relay->instance.value);
    return std::string(toString(std::get<Refused>(decision).reason));
}

} // namespace

// Guards against work for upstreams that must get none, and relays without hops or slots.
TEST_CASE("a request goes where the plan and the free slots allow", "[AdmissionController]")
{
    using Change = std::function<void(Plan &)>;
    const Change none = [](Plan &) {
    };
    const Change draining = [](Plan &plan) {
        plan.services[0].upstreams[0].state = UpstreamState::Draining;
    };
    const Change out = [](Plan &plan) {
        plan.domains[0].out = true;
    };
    const Change leaving = [](Plan &plan) {
        plan.instances[0].leaving = true;
    };
    const Change weightless = [](Plan &plan) {
        plan.services[0].upstreams[0].weight = 0;
    };
    // One own upstream with a limit of 1, which `busy` requests use; one upstream of instance 2.
    const auto [change, busy, advertised, hops, deadline, expected]
        = GENERATE_COPY(table<Change, int, int, int, Duration, std::string>({
            {none, 0, 2, 0, 1s, "dispatch"},
            {none, 0, 2, 0, 0s, "deadline"},
            {none, 1, 2, 0, 1s, "relay 2"},
            {none, 1, 2, 1, 1s, "relay 2"},
            {none, 1, 2, 2, 1s, "queued"},
            {none, 1, 0, 1, 1s, "queued"},
            {none, 1, -1, 0, 1s, "queued"},
            {draining, 0, 2, 0, 1s, "relay 2"},
            {weightless, 0, 2, 0, 1s, "relay 2"},
            {out, 0, 2, 0, 1s, "relay 2"},
            {leaving, 0, 0, 0, 1s, "relay 2"},
            {leaving, 0, -1, 0, 1s, "no_upstream"},
            {leaving, 0, 2, 2, 1s, "hop_limit"},
        }));
    Node node(1);
    Plan plan = planOf("xy", "xy");
    change(plan);
    node.controller.setPlan(plan, {}, start);
    if (advertised >= 0)
        node.advertise(2, static_cast<std::uint16_t>(advertised));
    for (int i = 0; i < busy; ++i)
        REQUIRE(describe(node.admit()) == "dispatch");
    REQUIRE(describe(node.admit(true, deadline, static_cast<std::uint8_t>(hops))) == expected);
}

// Guards against wrong verdicts, and against a retry at the upstream that failed.
TEST_CASE("failed attempts end in a retry elsewhere or a true verdict", "[AdmissionController]")
{
    using enum AnswerOutcome;
    const auto [idempotent, outcome, delay, retried, verdict]
        = GENERATE(table<bool, std::optional<AnswerOutcome>, Duration, bool, Verdict>({
            {true, Success, 1ms, false, Verdict::Answered},
            {true, Shed, 1ms, true, Verdict::NotRun},
            {true, ServerError, 1ms, true, Verdict::MayHaveRun},
            {true, std::nullopt, 201ms, true, Verdict::MayHaveRun},
            {false, Success, 999ms, false, Verdict::Answered},
            {false, Shed, 1ms, true, Verdict::NotRun},
            {false, ServerError, 1ms, false, Verdict::Answered},
            {false, std::nullopt, 999ms, false, Verdict::MayHaveRun},
        }));
    Node node(1);
    node.controller.setPlan(planOf("x", "xx"), {}, start);
    node.warmUp(2);
    const auto first = std::get<Dispatch>(node.admit(idempotent));
    node.now += delay;
    auto events = node.controller.tick(node.now);
    if (outcome)
        events = node.answer(first.id, *outcome);
    const auto again = only<Dispatch>(events);
    REQUIRE(again.size() == (retried ? 1 : 0));
    REQUIRE(only<RetryScheduled>(events).size() == again.size());
    REQUIRE(only<AnswerAccepted>(events).size() == (verdict == Verdict::Answered ? 1 : 0));
    if (retried) {
        REQUIRE(again[0].upstream != first.upstream);
        events = node.answer(again[0].id, Shed);
        const auto third = only<Dispatch>(events);
        // An unanswered first attempt still uses the only other slot.
        REQUIRE(third.size() == (outcome ? 1 : 0));
        if (outcome)
            events = node.answer(third[0].id, Shed);
    }
    if (!outcome) {
        node.now = start + 1s;
        events = node.controller.tick(node.now);
    }
    const auto refused = only<RequestRefused>(events);
    REQUIRE(refused.size() == (verdict == Verdict::Answered ? 0 : 1));
    if (!refused.empty())
        REQUIRE(refused[0].verdict == verdict);
    REQUIRE(node.controller.drained());
}

// Guards against waiting requests that start out of order or claim that they may have run.
TEST_CASE("waiting requests start by deadline, and late ones were not run", "[AdmissionController]")
{
    Node node(1);
    node.controller.setPlan(planOf("x", "x"), {}, start);
    const auto first = std::get<Dispatch>(node.admit(false, 3s));
    REQUIRE(describe(node.admit(false, 900ms)) == "queued");
    REQUIRE(describe(node.admit(false, 800ms)) == "queued");
    REQUIRE(describe(node.admit(false, 100ms)) == "queued");
    node.now += 150ms;
    const auto late = only<RequestRefused>(node.controller.tick(node.now));
    REQUIRE(late.size() == 1);
    REQUIRE(late[0].handle == 4);
    REQUIRE(late[0].verdict == Verdict::NotRun);
    const auto cancelled = only<RequestRefused>(node.controller.cancel(2, node.now));
    REQUIRE(cancelled.at(0).verdict == Verdict::NotRun);
    const auto next = only<Dispatch>(node.answer(first.id, AnswerOutcome::Success));
    REQUIRE(next.size() == 1);
    REQUIRE(next[0].handle == 3);
    const auto running = only<RequestRefused>(node.controller.cancel(3, node.now));
    REQUIRE(running.at(0).verdict == Verdict::MayHaveRun);
    // The cancelled request still uses its slot.
    REQUIRE(node.controller.inFlight(UpstreamId{1}) == 1);
    REQUIRE(node.controller.drained());
    REQUIRE(node.counters.refused(RefusalReason::Cancelled) == 2);
}

// Guards against two owners that together send more than an upstream bears.
TEST_CASE("a new owner counts the slots of the previous one", "[AdmissionController]")
{
    using Counts = std::vector<InFlightCount>;
    // Instance 2 takes over from 1. Handed over, then a report or a newer count, then time.
    const auto [handedOver, report, newer, wait, expected]
        = GENERATE(table<Counts, int, int, Duration, std::string>({
            {Counts{{service, upstream, 0}}, -1, -1, 0s, "dispatch"},
            {Counts{{service, upstream, 1}}, -1, -1, 0s, "queued"},
            {Counts{{service, upstream, 1}}, 0, -1, 0s, "dispatch"},
            {Counts{{service, upstream, 1}}, -1, 0, 0s, "dispatch"},
            {Counts{{service, upstream, 2}}, 1, -1, 0s, "queued"},
            {Counts{}, -1, -1, 0s, "queued"},
            {Counts{}, 0, -1, 0s, "dispatch"},
            {Counts{}, -1, -1, 5s, "queued"},
            {Counts{}, -1, -1, 5020ms, "dispatch"},
        }));
    const bool known = GENERATE(true, false);
    Node node(2, true);
    Plan plan = planOf("xx", "x");
    Plan next = plan;
    next.instances.erase(next.instances.begin());
    // Rendezvous may give the upstream to either; an owner that leaves gives it to instance 2.
    plan.instances[1].leaving = true;
    if (known)
        node.controller.setPlan(plan, {}, start);
    node.controller.setPlan(next, handedOver, start);
    if (report >= 0)
        node.controller.onLoadReport(upstream, {static_cast<std::uint16_t>(report), 0, true});
    if (newer >= 0)
        node.controller.lowerHandedOver(
            Counts{{service, upstream, static_cast<std::uint16_t>(newer)}});
    node.now += wait;
    REQUIRE(describe(node.admit()) == expected);
    REQUIRE(describe(node.admit()) == "queued");
}

// Guards against a planner that never learns of an ejection because one message was lost.
TEST_CASE("the state of upstreams is reported until the plan shows it", "[AdmissionController]")
{
    Node node(1);
    Plan plan = planOf("x", "xx");
    node.controller.setPlan(plan, {}, start);
    REQUIRE(node.controller.takeStatusChanges().empty());
    const auto cold = std::get<Dispatch>(node.admit());
    node.answer(cold.id, AnswerOutcome::Success, LoadReport{0, 0, false});
    REQUIRE(node.controller.takeStatusChanges()
            == std::vector<UpstreamStatus>{{service, cold.upstream, false, 2}});
    REQUIRE(node.controller.takeStatusChanges().empty());
    node.now += 2s;
    REQUIRE(node.controller.tick(node.now).empty());
    REQUIRE(node.controller.takeStatusChanges().size() == 1);
    plan.services[0].upstreams[cold.upstream.value - 1U].weight = 2;
    node.controller.setPlan(plan, {}, node.now + 2s);
    REQUIRE(node.controller.takeStatusChanges().empty());
}
