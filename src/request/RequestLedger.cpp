#include "request/RequestLedger.h"

namespace bulrushgap {

LedgerReply RequestLedger::begin(const RequestKey &key, TimePoint keepUntil, TimePoint now)
{
    if (const Record *record = this->findRecord(key))
        return RequestLedger::replyFor(*record);
    this->expire(now);
    if (this->records.size() >= this->limits.records) {
        this->counters.add("ledger_full");
        return {};
    }
    Record added;
    added.keepUntil = keepUntil;
    added.parts = AnswerParts(this->limits.answer);
    this->records.emplace(key, std::move(added));
    this->recordsByExpiry.emplace(keepUntil, key);
    LedgerReply reply;
    reply.outcome = LedgerOutcome::Started;
    return reply;
}

LedgerReply RequestLedger::find(const RequestKey &key) const
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? LedgerReply{} : RequestLedger::replyFor(found->second);
}

bool RequestLedger::markDispatched(const RequestKey &key)
{
    Record *record = this->findRecord(key);
    if (!record || record->state != RequestState::Queued)
        return this->rejectTransition();
    record->state = RequestState::Dispatched;
    return true;
}

bool RequestLedger::markRequeued(const RequestKey &key, NotRunProof proof)
{
    Record *record = this->findRecord(key);
    if (!record || record->state != RequestState::Dispatched || proof == NotRunProof::None)
        return this->rejectTransition();
    record->state = RequestState::Queued;
    return true;
}

bool RequestLedger::addAnswerPart(const RequestKey &key, std::uint32_t number, bool last,
                                  std::span<const std::byte> bytes)
{
    Record *record = this->findRecord(key);
    if (!record || record->state == RequestState::Queued)
        return this->rejectTransition();
    // An answer after the verdict "may have run" is late but valid; "not run" excludes answers.
    if (record->state == RequestState::Refused && record->verdict == Verdict::NotRun)
        return this->rejectTransition();
    record->state = RequestState::Answered;
    if (record->answerDiscarded)
        return true;
    const AddPartResult result = record->parts.add(number, last, bytes);
    if (result == AddPartResult::Added)
        this->storedBytes += bytes.size();
    if (result == AddPartResult::TooLarge || this->storedBytes > this->limits.answerBytes)
        this->discardAnswer(*record);
    return true;
}

bool RequestLedger::markRefused(const RequestKey &key, RefusalReason reason, Verdict verdict,
                                NotRunProof proof)
{
    Record *record = this->findRecord(key);
    if (!record || record->state == RequestState::Answered
        || record->state == RequestState::Refused)
        return this->rejectTransition();
    const bool sent = record->state == RequestState::Dispatched;
    if (verdict == Verdict::Answered
        || (sent && verdict == Verdict::NotRun && proof == NotRunProof::None))
        return this->rejectTransition();
    record->state = RequestState::Refused;
    record->reason = reason;
    record->verdict = verdict;
    return true;
}

void RequestLedger::expire(TimePoint now)
{
    for (auto it = this->recordsByExpiry.begin();
         it != this->recordsByExpiry.end() && it->first <= now;) {
        const auto found = this->records.find(it->second);
        const RequestState state = found->second.state;
        if (state == RequestState::Queued || state == RequestState::Dispatched) {
            ++it;
            continue;
        }
        this->storedBytes -= found->second.parts.size();
        this->records.erase(found);
        it = this->recordsByExpiry.erase(it);
    }
}

RequestLedger::Record *RequestLedger::findRecord(const RequestKey &key)
{
    const auto found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

LedgerReply RequestLedger::replyFor(const Record &record)
{
    LedgerReply reply;
    switch (record.state) {
    case RequestState::Queued:
    case RequestState::Dispatched:
        reply.outcome = LedgerOutcome::InProgress;
        break;
    case RequestState::Answered:
        reply.outcome
            = record.answerDiscarded ? LedgerOutcome::AnswerDiscarded : LedgerOutcome::Answered;
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

bool RequestLedger::rejectTransition()
{
    this->counters.add("ledger_forbidden_transition");
    return false;
}

void RequestLedger::discardAnswer(Record &record)
{
    this->counters.add("ledger_answer_lost");
    this->storedBytes -= record.parts.size();
    record.parts = AnswerParts(this->limits.answer);
    record.answerDiscarded = true;
}

} // namespace bulrushgap
