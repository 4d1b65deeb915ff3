#pragma once

#include "base/Counters.h"
#include "base/Reasons.h"
#include "base/Time.h"
#include "base/Verdict.h"
#include "packet/Packet.h"
#include "request/AnswerParts.h"

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

namespace bulrushgap {

/** \brief Identifies one non-idempotent request. */
struct RequestKey
{
    FlowKey flow;
    Token token;
    std::uint32_t nonce = 0; //!< Of the ticket.

    friend constexpr auto operator<=>(const RequestKey &, const RequestKey &) = default;
};

enum class RequestState {
    Queued,     //!< No copy has left this instance.
    Dispatched, //!< A copy was sent to an upstream or to another instance.
    Answered,   //!< At least one part of the answer has arrived.
    Refused,
};

/** \brief Evidence that a dispatched request was not run. */
enum class NotRunProof {
    None,
    UpstreamShed,      //!< The upstream answered that it did not run the request.
    DispatcherRefused, //!< The instance to which the request was relayed refused it as not run.
};

enum class LedgerOutcome {
    Started,         //!< A record was created: run the request.
    Full,            //!< No record and no room for a new one: refuse the request as not run.
    InProgress,      //!< A duplicate of an unfinished request: drop it; the answer will follow.
    Answered,        //!< A duplicate: send the recorded parts again.
    AnswerDiscarded, //!< A duplicate of a request whose answer was too large to keep.
    Refused,         //!< A duplicate: send the recorded refusal again.
};

struct LedgerReply
{
    LedgerOutcome outcome = LedgerOutcome::Full;
    RefusalReason reason = RefusalReason::Overloaded; //!< With Refused.
    Verdict verdict = Verdict::NotRun;                //!< With Refused.
    std::vector<AnswerParts::Bytes> parts;            //!< With Answered.
};

struct RequestLedgerLimits
{
    std::size_t records = 65536;
    std::size_t answerBytes = 8UL * 1024 * 1024; //!< Of all records together.
    AnswerPartsLimits answer;                    //!< Of one record.
};

/** \brief Records the requests with tickets of this instance, so that each runs at most once.
 *
 * No record is dropped before its request has ended and its keepUntil has passed, because a
 * duplicate would then run again. Invalid state transitions are rejected and counted as
 * `ledger_forbidden_transition`.
 */
class RequestLedger
{
public:
    RequestLedger(const RequestLedgerLimits &limits, Counters &counters)
        : limits(limits)
        , counters(counters)
    {}

    /** \brief Creates a record that is kept until \a keepUntil, or returns the outcome of an
     * existing one. */
    LedgerReply begin(const RequestKey &key, TimePoint keepUntil, TimePoint now);

    /** \returns the reply for an existing record, or Full without one.
     *
     * For requests with an expired ticket, which must not be started. */
    [[nodiscard]] LedgerReply find(const RequestKey &key) const;
    [[nodiscard]] bool contains(const RequestKey &key) const { return this->records.contains(key); }

    /** \brief Changes Queued to Dispatched. \returns false if the transition is invalid. */
    bool markDispatched(const RequestKey &key);

    /** \brief Changes Dispatched to Queued. \returns false if the transition is invalid. */
    bool markRequeued(const RequestKey &key, NotRunProof proof);

    /** \brief Adds a part of the answer.
     * \returns false if the request was not sent, or was refused as not run. */
    bool addAnswerPart(const RequestKey &key, std::uint32_t number, bool last,
                       std::span<const std::byte> bytes);

    /** \brief Ends the request without an answer. \returns false if the transition is invalid.
     *
     * A dispatched request can be refused as not run only with a proof. */
    bool markRefused(const RequestKey &key, RefusalReason reason, Verdict verdict,
                     NotRunProof proof = NotRunProof::None);

    /** \brief Drops the records of ended requests whose keepUntil has passed. */
    void expire(TimePoint now);

    [[nodiscard]] std::size_t size() const { return this->records.size(); }
    [[nodiscard]] std::size_t answerBytes() const { return this->storedBytes; }

private:
    struct Record
    {
        RequestState state = RequestState::Queued;
        TimePoint keepUntil;
        RefusalReason reason = RefusalReason::Overloaded;
        Verdict verdict = Verdict::NotRun;
        AnswerParts parts;
        bool answerDiscarded = false;
    };

    [[nodiscard]] Record *findRecord(const RequestKey &key);
    [[nodiscard]] static LedgerReply replyFor(const Record &record);
    bool rejectTransition();
    void discardAnswer(Record &record);

    RequestLedgerLimits limits;
    Counters &counters;
    std::map<RequestKey, Record> records;
    std::set<std::pair<TimePoint, RequestKey>> recordsByExpiry;
    std::size_t storedBytes = 0;
};

} // namespace bulrushgap
