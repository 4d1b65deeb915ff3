#pragma once

#include "base/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace bulrushgap::balance {

/** \brief What an instance believes of an upstream, from its own observations. */
enum class Liveness : std::uint8_t {
    Alive,
    Suspect,     //!< An answer is overdue; new flows prefer other upstreams.
    Refusing,    //!< Connections are refused: the process does not run, or is cut off.
    Unreachable, //!< Probes stay unanswered as well: the machine is dark or cut off.
};

[[nodiscard]] std::string_view toString(Liveness liveness);

enum class ProbeResult {
    Connected,
    Refused,
    TimedOut,  //!< No answer, while another upstream answered in the same time.
    Undecided, //!< No answer, and none of another either: this instance may be the reason.
};

/** \brief Failure detection for one upstream from answers that are due and from probes.
 *
 * Answers the death of an upstream that nobody announces. Time is passed in; each answer that a
 * caller acknowledges is a sign of life.
 */
class UpstreamHealth
{
public:
    /** \brief Something was sent to the upstream that it must answer until \a due. */
    void expectAnswer(TimePoint now, TimePoint due);

    /** \brief A caller has acknowledged something that the upstream sent lately. */
    void answered(TimePoint now);

    /** \brief Turns suspect if an answer is overdue. \returns whether the belief changed. */
    bool checkOverdue(TimePoint now);

    /** \brief Evidence other than an overdue answer. \returns whether the belief changed. */
    bool suspect(TimePoint now);

    /** \returns whether the belief changed. */
    bool probed(ProbeResult result, TimePoint now);

    /** \brief Expects no answer any more: after a pause of this process, lateness proves nothing.
     */
    void excuse() { this->answerDue.reset(); }

    /** \brief Undecided probes count as timed out: this instance has heard nobody for so long that
     * it must be cut off. \returns whether the belief changed. */
    bool acceptUndecided(TimePoint now);

    /** \brief Forgets everything, as after a restart of the upstream. */
    void reset() { *this = UpstreamHealth(); }

    /** \returns whether nothing sent to the upstream can have an answer: answers are overdue, and
     * two probes in a row failed in the same way. */
    [[nodiscard]] bool isProvenDead() const;

    [[nodiscard]] Liveness liveness() const { return this->belief; }
    [[nodiscard]] bool isWaiting() const { return this->answerDue.has_value(); }
    [[nodiscard]] std::optional<TimePoint> overdueAt() const { return this->answerDue; }
    [[nodiscard]] TimePoint lastAnswer() const { return this->answeredAt; }

    /** \returns when to probe next, or nothing while the upstream is believed alive. */
    [[nodiscard]] std::optional<TimePoint> probeAt() const { return this->nextProbe; }
    void probeStarted(TimePoint now);

private:
    void judgeTimeouts(TimePoint now);
    void enter(Liveness next, TimePoint now);

    Liveness belief = Liveness::Alive;
    std::optional<TimePoint> answerDue;
    std::optional<TimePoint> nextProbe;
    TimePoint answeredAt{};
    TimePoint clearedAt{}; //!< Last time that a probe alone ended a suspicion.
    Duration probeInterval{};
    unsigned probesInFlight = 0;
    unsigned timeouts = 0;  //!< Probes in a row without an answer.
    unsigned undecided = 0; //!< Probes in a row without an answer that prove nothing yet.
    unsigned refusals = 0;  //!< Probes in a row that were refused.
};

} // namespace bulrushgap::balance
