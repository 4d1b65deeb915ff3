#include "request/RequestLedger.h"

namespace bulrushgap {

LedgerReply RequestLedger::begin(const RequestKey &key, TimePoint keepUntil, TimePoint now)
{
    if (const Record *known = this->record(key))
        return RequestLedger::reply(*known);
    this->expire(now);
    if (this->records.size() >= this->limits.records) {
        this->counters.add("ledger_full");
        return {};
    }
    Record fresh;
    fresh.keepUntil = keepUntil;
    fresh.parts = AnswerParts(this->limits.answer);
    this->records.emplace(key, std::move(fresh));
    this->ends.emplace(keepUntil, key);
    LedgerReply reply;
    reply.outcome = LedgerOutcome::Started;
    return reply;
}

LedgerReply RequestLedger::find(const RequestKey &key) const
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? LedgerReply{} : RequestLedger::reply(found->second);
}

bool RequestLedger::dispatched(const RequestKey &key)
{
    Record *known = this->record(key);
    if (!known || known->state != RequestState::Queued)
        return this->forbid();
    known->state = RequestState::Dispatched;
    return true;
}

bool RequestLedger::requeued(const RequestKey &key, NotRunProof proof)
{
    Record *known = this->record(key);
    if (!known || known->state != RequestState::Dispatched || proof == NotRunProof::None)
        return this->forbid();
    known->state = RequestState::Queued;
    return true;
}

bool RequestLedger::answered(const RequestKey &key, std::uint32_t number, bool last,
                             std::span<const std::byte> bytes)
{
    Record *known = this->record(key);
    if (!known || known->state == RequestState::Queued)
        return this->forbid();
    // An answer after "may have run" is late but true; one after "not run" is a contradiction.
    if (known->state == RequestState::Refused && known->verdict == Verdict::NotRun)
        return this->forbid();
    known->state = RequestState::Answered;
    if (known->answerLost)
        return true;
    const AddPartResult result = known->parts.add(number, last, bytes);
    if (result == AddPartResult::Added)
        this->storedBytes += bytes.size();
    if (result == AddPartResult::TooLarge || this->storedBytes > this->limits.answerBytes)
        this->loseAnswer(*known);
    return true;
}

bool RequestLedger::refused(const RequestKey &key, RefusalReason reason, Verdict verdict,
                            NotRunProof proof)
{
    Record *known = this->record(key);
    if (!known || known->state == RequestState::Answered || known->state == RequestState::Refused)
        return this->forbid();
    const bool sent = known->state == RequestState::Dispatched;
    if (verdict == Verdict::Answered
        || (sent && verdict == Verdict::NotRun && proof == NotRunProof::None))
        return this->forbid();
    known->state = RequestState::Refused;
    known->reason = reason;
    known->verdict = verdict;
    return true;
}

void RequestLedger::expire(TimePoint now)
{
    for (auto end = this->ends.begin(); end != this->ends.end() && end->first <= now;) {
        const auto found = this->records.find(end->second);
        const RequestState state = found->second.state;
        if (state == RequestState::Queued || state == RequestState::Dispatched) {
            ++end;
            continue;
        }
        this->storedBytes -= found->second.parts.size();
        this->records.erase(found);
        end = this->ends.erase(end);
    }
}

RequestLedger::Record *RequestLedger::record(const RequestKey &key)
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

LedgerReply RequestLedger::reply(const Record &record)
{
    LedgerReply reply;
    switch (record.state) {
    case RequestState::Queued:
    case RequestState::Dispatched:
        reply.outcome = LedgerOutcome::InProgress;
        break;
    case RequestState::Answered:
        reply.outcome = record.answerLost ? LedgerOutcome::AnswerLost : LedgerOutcome::Answered;
        reply.verdict = Verdict::Answered;
        reply.parts = record.parts.ordered();
        break;
    case RequestState::Refused:
        reply.outcome = LedgerOutcome::Refused;
        reply.reason = record.reason;
        reply.verdict = record.verdict;
        break;
    }
    return reply;
}

bool RequestLedger::forbid()
{
    this->counters.add("ledger_forbidden_transition");
    return false;
}

void RequestLedger::loseAnswer(Record &record)
{
    this->counters.add("ledger_answer_lost");
    this->storedBytes -= record.parts.size();
    record.parts = AnswerParts(this->limits.answer);
    record.answerLost = true;
}

} // namespace bulrushgap
