#pragma once

#include "base/Counters.h"
#include "base/Time.h"
#include "plan/Plan.h"

#include <boost/json.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace bulrushgap {

/** \brief Asks for a conditional update of the plan object. */
struct WritePlan
{
    boost::json::value value;
    std::uint64_t ifVersion = 0; //!< Version that the object must have; 0: it must not exist.
    std::uint64_t writeId = 0;
};

/** \brief Asks for the plan object. */
struct ReadPlan
{};

/** \brief The store has accepted this plan, from this writer or a rival. */
struct AdoptPlan
{
    Plan plan;
    bool rival = false;
};

/** \brief The store cannot be written; this plan goes to the peers only. */
struct PublishOverlay
{
    Plan plan;
};

using PlanAction = std::variant<WritePlan, ReadPlan, AdoptPlan, PublishOverlay>;
using PlanActions = std::vector<PlanAction>;

/** \brief Outcome of a conditional update. */
struct WriteResult
{
    enum class Kind : std::uint8_t {
        Ok,
        Conflict,        //!< The object has another version.
        LostAnswer,      //!< The update may have taken effect.
        Unavailable,     //!< The store refused or could not be reached.
        TooManyRequests, //!< The store limits the rate.
    };

    Kind kind = Kind::Unavailable;
    std::uint64_t version = 0; //!< Of the object, for Ok and Conflict.
};

/** \brief Outcome of a read of the plan object. */
struct ReadResult
{
    enum class Kind : std::uint8_t {
        Found,
        Missing,     //!< There is no plan object.
        Invalid,     //!< The object has a version but does not decode.
        Unavailable, //!< No answer, or the store limits the rate.
    };

    Kind kind = Kind::Unavailable;
    std::uint64_t version = 0;
    Plan plan;
    std::uint64_t writeId = 0;
};

struct PlanWriterSettings
{
    std::uint64_t writer = 0; //!< Identity in plans, see planWriterId().
    Duration firstBackOff = std::chrono::milliseconds(50);
    Duration longestBackOff = std::chrono::seconds(1);
    Duration answerTimeout = std::chrono::milliseconds(500);
    Duration overlayAfter = std::chrono::seconds(1); //!< Without a successful write.
};

/** \brief Conditional update of the plan object as a state machine without I/O.
 *
 * One write or read is outstanding at a time. An update without answer is resolved by reading back
 * and comparing the write id; a retry repeats the write id, so an update that takes effect late is
 * recognised too. While the store has been unwritable for overlayAfter, proposals are published as
 * overlays, and the first update after the outage holds the newest overlay's content. An overlay
 * never holds a newer configuration than its base: a rival that reaches the store could store a
 * plan without it, and the configuration would go back.
 *
 * The caller plans on base() and proposes again after each AdoptPlan; a proposal that comes while
 * an update is outstanding is not kept, since its ids rest on a base that is about to change.
 *
 * Counters: plan_write, plan_write_conflict, plan_write_lost_answer, plan_write_unavailable,
 * plan_write_rate_limited, plan_write_recovered (read back after a lost answer), plan_read_retry,
 * plan_proposal_deferred, plan_overlay, invariant_config_reverted, invariant_plan_id_reverted.
 */
class PlanWriter
{
public:
    PlanWriter(PlanWriterSettings settings, Counters &counters, Random &random)
        : settings(settings)
        , counters(counters)
        , random(random)
    {}

    /** \returns the newest plan known: the base for the next proposal. */
    [[nodiscard]] const Plan &base() const { return this->newest; }

    /** \returns whether a proposal would be taken up now. */
    [[nodiscard]] bool ready(TimePoint now) const
    {
        return this->phase == Phase::Idle || this->inOutage(now);
    }

    /** \returns whether the store has been unwritable for overlayAfter. */
    [[nodiscard]] bool inOutage(TimePoint now) const
    {
        return this->troubleSince && now - *this->troubleSince >= this->settings.overlayAfter;
    }

    /** \returns whether base() is an overlay; the planner proposes it until the store has it. */
    [[nodiscard]] bool unsaved() const { return this->newest.id.overlay > 0; }

    /** \brief Proposes a plan that was built on base(); equal content is written if unsaved(). */
    [[nodiscard]] PlanActions propose(const Plan &plan, TimePoint now);

    /** \brief Takes over a plan that a peer or a watch of the store has reported.
     *
     * \returns AdoptPlan if the plan is newer than base().
     */
    [[nodiscard]] PlanActions observe(const Plan &plan);

    /** \brief Reads the plan object, for example at the start; the answer comes as a read result.
     */
    [[nodiscard]] PlanActions load(TimePoint now);

    /** \brief Result of the update \a writeId; late results of earlier updates are ignored. */
    [[nodiscard]] PlanActions onWriteResult(std::uint64_t writeId, const WriteResult &result,
                                            TimePoint now);
    [[nodiscard]] PlanActions onReadResult(const ReadResult &result, TimePoint now);

    /** \brief Ends waiting times; call at least every 100 ms. */
    [[nodiscard]] PlanActions tick(TimePoint now);

private:
    enum class Phase : std::uint8_t { Idle, Writing, Reading, WaitingToWrite, WaitingToRead };

    /** \brief The update that is outstanding or whose fate is unknown. */
    struct Attempt
    {
        Plan plan;
        std::uint64_t ifVersion = 0;
        std::uint64_t writeId = 0;
    };

    void startAttempt(const Plan &plan);
    void write(TimePoint now, PlanActions &actions);
    void read(TimePoint now, PlanActions &actions);
    void backOff(Phase next, TimePoint now);
    void accept(std::uint64_t version, TimePoint now, PlanActions &actions);
    void adoptRead(const ReadResult &result, PlanActions &actions);
    void adoptRival(const Plan &plan, PlanActions &actions);
    void publishOverlay(const Plan &content, PlanActions &actions);
    void resume(TimePoint now, PlanActions &actions);
    void settle();
    [[nodiscard]] bool advanceTo(const Plan &plan);

    PlanWriterSettings settings;
    Counters &counters;
    Random &random;
    Plan newest;
    std::uint64_t storeVersion = 0; //!< Version of the plan object as last known; 0 without one.
    std::optional<Attempt> attempt;
    Phase phase = Phase::Idle;
    TimePoint phaseEnd{};
    std::optional<TimePoint> lastTick;
    std::optional<TimePoint> troubleSince; //!< Start of the first update without success.
    unsigned failures = 0;
    bool overlayUnsaved = false; //!< An overlay was published since the attempt began.
};

} // namespace bulrushgap
