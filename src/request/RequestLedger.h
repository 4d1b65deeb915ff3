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

/** \brief Identifies one request that must not be repeated. */
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
    Answered,   //!< At least one part of the answer is known.
    Refused,
};

/** \brief Who states that a dispatched request was not run. */
enum class NotRunProof {
    None,
    UpstreamShed,      //!< The upstream answered that it did not run the request.
    DispatcherRefused, //!< The instance to which the request was relayed refused it as not run.
};

enum class LedgerOutcome {
    Started,         //!< A new record: run the request.
    Full,            //!< No room for a record: refuse the request as not run.
    InProgress,      //!< A duplicate of a running request: drop it, the answer will follow.
    Answered,        //!< A duplicate: send the recorded parts again.
    AnswerDiscarded, //!< A duplicate whose answer was too large to keep: it has run.
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

/** \brief At-most-once records of the requests that this instance issued tickets for.
 *
 * A live record is never dropped: without it, a duplicate would run again. Forbidden transitions
 * are refused and counted as `ledger_forbidden_transition`.
 */
class RequestLedger
{
public:
    RequestLedger(const RequestLedgerLimits &limits, Counters &counters)
        : limits(limits)
        , counters(counters)
    {}

    /** \brief Records a new request until \a keepUntil, or finds what became of it. */
    LedgerReply begin(const RequestKey &key, TimePoint keepUntil, TimePoint now);

    /** \returns the reply for an existing record, or Full without one.
     *
     * For requests whose ticket has expired; they must not be started. */
    [[nodiscard]] LedgerReply find(const RequestKey &key) const;
    [[nodiscard]] bool contains(const RequestKey &key) const { return this->records.contains(key); }

    /** \brief Queued to Dispatched. \returns false if forbidden. */
    bool markDispatched(const RequestKey &key);

    /** \brief Dispatched back to Queued, to be sent again. \returns false if forbidden. */
    bool markRequeued(const RequestKey &key, NotRunProof proof);

    /** \brief Adds a part of the answer. \returns false if no copy of the request was sent. */
    bool addAnswerPart(const RequestKey &key, std::uint32_t number, bool last,
                       std::span<const std::byte> bytes);

    /** \brief Ends the request without an answer. \returns false if forbidden.
     *
     * A dispatched request is refused as not run only with a proof. */
    bool markRefused(const RequestKey &key, RefusalReason reason, Verdict verdict,
                     NotRunProof proof = NotRunProof::None);

    /** \brief Drops ended records whose time is over. */
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
