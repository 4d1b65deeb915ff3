#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bulrushgap::balance {

/** \brief State of an upstream as inferred from this instance's own observations. */
enum class Liveness : std::uint8_t {
    Alive,
    Suspect,     //!< An answer is overdue; new flows prefer other upstreams.
    Refusing,    //!< Connections are refused: the process is not running, or its host is cut off.
    Unreachable, //!< Probes time out as well: the host is down or cut off.
};

[[nodiscard]] std::string_view toString(Liveness liveness);

enum class ProbeResult {
    Connected,
    Refused,
    TimedOut,     //!< No answer, while another upstream answered in the same period.
    Inconclusive, //!< No answer, nor from any other upstream: the fault may be local.
};

/** \brief Which probes confirm that an upstream is down. */
enum class DownProof : std::uint8_t {
    None,     //!< It is not confirmed down.
    Refusals, //!< Connections were refused.
    Timeouts, //!< Connections timed out while another upstream accepted one.
};

[[nodiscard]] std::string_view toString(DownProof proof);

/** \brief How an upstream was found to be down. */
struct Outage
{
    enum class Kind : std::uint8_t {
        Refused,  //!< Its process was not running, so it may return as another incarnation.
        TimedOut, //!< It was cut off or had no power, while other upstreams were reached.
    };

    Kind kind = Kind::Refused;
    TimePoint suspectedAt{}; //!< Its flows that were open before are lost if it restarts.
    TimePoint confirmedAt{};
};

/** \brief Failure detection for one upstream, from overdue answers and probe results.
 *
 * Detects upstreams that fail without notice. Each answer that a caller acknowledges shows that the
 * upstream is alive. The current time is passed in by the caller.
 */
class UpstreamHealth
{
public:
    /** \brief Records that the upstream must answer a packet by \a due. */
    void expectAnswer(TimePoint now, TimePoint due);

    /** \brief Records an answer: a caller has acknowledged recent data of the upstream. */
    void onAnswer(TimePoint now);

    /** \brief Marks the upstream suspect if an answer is overdue. \returns whether it changed. */
    bool checkOverdue(TimePoint now);

    /** \brief Marks the upstream suspect on other evidence. \returns whether it changed. */
    bool markSuspect(TimePoint now);

    /** \brief Applies the result of a probe. \returns whether the state changed. */
    bool onProbeResult(ProbeResult result, TimePoint now);

    /** \brief Resets the count of refusals: another upstream of the domain has answered since, or
     * no probe of another one has failed, so the refusals may be due to overload. */
    void discardRefusals(TimePoint now);

    /** \brief Marks the upstream alive, as its whole domain was unreachable and no longer is.
     *  \returns whether the state changed. */
    bool clearSuspicion(TimePoint now);

    /** \brief Cancels the expected answer: after a pause of this process, a late answer is no
     * evidence. */
    void cancelExpectedAnswer() { this->answerDue.reset(); }

    /** \brief Clears all state, as after a restart of the upstream. */
    void reset() { *this = UpstreamHealth(); }

    /** \returns whether the upstream is down or cut off: answers are overdue, and two consecutive
     * probes failed in the same way. */
    [[nodiscard]] bool isConfirmedDown() const { return this->proof() != DownProof::None; }

    /** \returns the probes that confirm it as down. */
    [[nodiscard]] DownProof proof() const;

    /** \returns the outage from which the upstream has returned, once; nothing while it is down. An
     * outage of this instance's own connectivity is none of the upstream. */
    [[nodiscard]] std::optional<Outage> takeEndedOutage();

    [[nodiscard]] Liveness liveness() const { return this->state; }
    [[nodiscard]] bool isWaiting() const { return this->answerDue.has_value(); }
    [[nodiscard]] std::optional<TimePoint> answerDueAt() const { return this->answerDue; }
    [[nodiscard]] TimePoint lastAnswer() const { return this->answeredAt; }
    [[nodiscard]] TimePoint suspectedAt() const { return this->suspectSince; }
    [[nodiscard]] unsigned pendingProbeCount() const { return this->pendingProbes; }

    /** \returns whether refusals were discarded since the upstream last became suspect. */
    [[nodiscard]] bool hasDiscardedRefusals() const { return this->refusalsDiscarded; }

    /** \returns when the first probe of the current series of refusals ended, if there is one. */
    [[nodiscard]] std::optional<TimePoint> refusedSince() const
    {
        return this->refusals > 0 ? std::optional(this->firstRefusalAt) : std::nullopt;
    }

    /** \returns when to probe next, or nothing while the upstream counts as alive. */
    [[nodiscard]] std::optional<TimePoint> probeAt() const { return this->nextProbe; }

    /** \brief Records the start of a probe, and when the next one is due. */
    void probeStarted(TimePoint now);

private:
    void scheduleAtOnce(TimePoint now);
    void recordOutage(Outage::Kind kind, TimePoint now);
    void setState(Liveness next, TimePoint now);

    Liveness state = Liveness::Alive;
    std::optional<TimePoint> answerDue;
    std::optional<TimePoint> nextProbe;
    TimePoint answeredAt{};
    std::optional<Outage> outage; //!< Present or ended outage, until it is taken.
    TimePoint clearedByProbeAt{}; //!< When a probe last cleared a suspicion without an answer.
    TimePoint suspectSince{};
    TimePoint firstRefusalAt{};
    Duration probeInterval{};
    bool refusalsDiscarded = false; //!< Since the upstream became suspect.
    unsigned pendingProbes = 0;
    unsigned timeouts = 0;     //!< Consecutive probes that timed out.
    unsigned inconclusive = 0; //!< Consecutive inconclusive probes.
    unsigned refusals = 0;     //!< Consecutive probes that were refused.
};

} // namespace bulrushgap::balance
