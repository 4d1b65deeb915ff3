#include "request/RequestLedger.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>
#include <vector>

using namespace bulrushgap;
using namespace std::chrono_literals;

namespace {

using Step = std::function<bool(RequestLedger &)>;

constexpr TimePoint start{1h};
const std::vector<std::byte> part(100);

RequestKey keyOf(std::uint32_t nonce)
{
    return {{{10, 1}, {20, 2}}, {}, nonce};
}

bool send(RequestLedger &ledger)
{
    return ledger.markDispatched(keyOf(1));
}

bool answer(RequestLedger &ledger)
{
    return ledger.addAnswerPart(keyOf(1), 0, true, part);
}

bool answerTooLarge(RequestLedger &ledger)
{
    return ledger.addAnswerPart(keyOf(1), 0, true, std::vector<std::byte>(1001));
}

Step refuse(Verdict verdict, NotRunProof proof = NotRunProof::None)
{
    return [=](RequestLedger &ledger) {
        return ledger.markRefused(keyOf(1), RefusalReason::Deadline, verdict, proof);
    };
}

Step requeue(NotRunProof proof)
{
    return [=](RequestLedger &ledger) {
        return ledger.markRequeued(keyOf(1), proof);
    };
}

} // namespace

// Guards against a duplicate that runs again, and against the verdict "not run" without proof for a
// request that was sent.
TEST_CASE("a record allows only valid state transitions", "[RequestLedger]")
{
    using enum NotRunProof;
    using Steps = std::vector<Step>;
    const Step notRun = refuse(Verdict::NotRun);
    const Step mayHaveRun = refuse(Verdict::MayHaveRun);
    // All steps before the last must succeed; lastAllowed is the expected result of the last.
    const auto [steps, lastAllowed, expected] = GENERATE_COPY(table<Steps, bool, LedgerOutcome>({
        {Steps{send}, true, LedgerOutcome::InProgress},
        {Steps{send, send}, false, LedgerOutcome::InProgress},
        {Steps{answer}, false, LedgerOutcome::InProgress},
        {Steps{notRun}, true, LedgerOutcome::Refused},
        {Steps{notRun, send}, false, LedgerOutcome::Refused},
        {Steps{notRun, answer}, false, LedgerOutcome::Refused},
        {Steps{send, notRun}, false, LedgerOutcome::InProgress},
        {Steps{send, refuse(Verdict::NotRun, UpstreamShed)}, true, LedgerOutcome::Refused},
        {Steps{send, refuse(Verdict::NotRun, DispatcherRefused)}, true, LedgerOutcome::Refused},
        {Steps{send, mayHaveRun}, true, LedgerOutcome::Refused},
        {Steps{send, mayHaveRun, answer}, true, LedgerOutcome::Answered},
        {Steps{send, answer, answer}, true, LedgerOutcome::Answered},
        {Steps{send, answer, notRun}, false, LedgerOutcome::Answered},
        {Steps{send, answer, send}, false, LedgerOutcome::Answered},
        {Steps{send, answerTooLarge, answer}, true, LedgerOutcome::AnswerDiscarded},
        {Steps{send, requeue(None)}, false, LedgerOutcome::InProgress},
        {Steps{send, requeue(UpstreamShed), send}, true, LedgerOutcome::InProgress},
        {Steps{send, requeue(UpstreamShed), notRun}, true, LedgerOutcome::Refused},
    }));
    Counters counters;
    RequestLedgerLimits limits;
    limits.answerBytes = 1000;
    RequestLedger ledger(limits, counters);
    REQUIRE(ledger.begin(keyOf(1), start + 1s, start).outcome == LedgerOutcome::Started);
    for (std::size_t i = 0; i < steps.size(); ++i)
        REQUIRE(steps[i](ledger) == (i + 1 < steps.size() || lastAllowed));
    REQUIRE(counters.value("ledger_forbidden_transition") == (lastAllowed ? 0 : 1));
    const LedgerReply reply = ledger.begin(keyOf(1), start + 1s, start);
    REQUIRE(reply.outcome == expected);
    REQUIRE(reply.parts.size() == (expected == LedgerOutcome::Answered ? 1 : 0));
    // The record of an ended request expires; that of an unfinished request stays.
    ledger.expire(start + 1s);
    REQUIRE(ledger.size() == (expected == LedgerOutcome::InProgress ? 1 : 0));
    REQUIRE(ledger.answerBytes() == 0);
}

// Guards against a full ledger that drops a record, after which a duplicate would run again.
TEST_CASE("a full ledger accepts no new records", "[RequestLedger]")
{
    Counters counters;
    RequestLedgerLimits limits;
    limits.records = 2;
    RequestLedger ledger(limits, counters);
    REQUIRE(ledger.begin(keyOf(1), start + 1s, start).outcome == LedgerOutcome::Started);
    REQUIRE(ledger.begin(keyOf(2), start + 1s, start).outcome == LedgerOutcome::Started);
    REQUIRE(ledger.begin(keyOf(3), start + 9s, start).outcome == LedgerOutcome::Full);
    REQUIRE(refuse(Verdict::NotRun)(ledger));
    REQUIRE(ledger.begin(keyOf(3), start + 9s, start).outcome == LedgerOutcome::Full);
    REQUIRE(ledger.begin(keyOf(3), start + 9s, start + 1s).outcome == LedgerOutcome::Started);
    REQUIRE(ledger.begin(keyOf(2), start + 1s, start + 1s).outcome == LedgerOutcome::InProgress);
    REQUIRE(ledger.find(keyOf(4)).outcome == LedgerOutcome::Full);
}
