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

/** \brief Requests a conditional update of the plan object. */
struct WritePlan
{
    boost::json::value value;
    std::uint64_t ifVersion = 0; //!< Version that the object must have; 0: it must not exist.
    std::uint64_t writeId = 0;
};

/** \brief Requests a read of the plan object. */
struct ReadPlan
{};

/** \brief Reports a newer plan to adopt, from this writer or a rival. */
struct AdoptPlan
{
    Plan plan;
    bool rival = false;
};

/** \brief Requests sending the plan to peers only, since the store is unwritable. */
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
        Conflict,        //!< The version of the object differs from the expected one.
        LostAnswer,      //!< No response; the update may have been applied.
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
        Invalid,     //!< The object exists but cannot be decoded.
        Unavailable, //!< No answer, or the store limits the rate.
    };

    Kind kind = Kind::Unavailable;
    std::uint64_t version = 0;
    Plan plan;
    std::uint64_t writeId = 0;
};

struct PlanWriterSettings
{
    std::uint64_t writer = 0; //!< Writer id in plans; see planWriterId().
    Duration firstBackOff = std::chrono::milliseconds(50);
    Duration longestBackOff = std::chrono::seconds(1);
    Duration answerTimeout = std::chrono::milliseconds(500);
    Duration overlayAfter = std::chrono::seconds(1); //!< Without a successful write.
};

/** \brief Conditional update of the plan object as a state machine without I/O.
 *
 * One write or read is outstanding at a time. If an update is not acknowledged, the object is read
 * and its write id compared. Retries reuse the write id, so a late update is recognised too. While
 * the store has been unwritable for overlayAfter, proposals are published as overlays, and the
 * first update after the outage holds the newest overlay's content. An overlay never has a newer
 * configuration than its base: a rival that reaches the store could store a plan without it and so
 * revert the configuration.
 *
 * The caller builds proposals on base() and proposes again after each AdoptPlan. Proposals during
 * an outstanding update are discarded, since the base of their ids is about to change.
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

    /** \returns whether propose() can process a plan now. */
    [[nodiscard]] bool ready(TimePoint now) const
    {
        return this->phase == Phase::Idle || this->inOutage(now);
    }

    /** \returns whether the store has been unwritable for overlayAfter. */
    [[nodiscard]] bool inOutage(TimePoint now) const
    {
        return this->withoutSuccessSince
               && now - *this->withoutSuccessSince >= this->settings.overlayAfter;
    }

    /** \returns whether base() is an overlay; the planner proposes it until it is stored. */
    [[nodiscard]] bool unsaved() const { return this->newest.id.overlay > 0; }

    /** \brief Proposes a plan that was built on base(); equal content is written if unsaved(). */
    [[nodiscard]] PlanActions propose(const Plan &plan, TimePoint now);

    /** \brief Processes a plan received from a peer or a watch of the store.
     *
     * \returns AdoptPlan if the plan is newer than base().
     */
    [[nodiscard]] PlanActions observe(const Plan &plan);

    /** \brief Reads the plan object, for example at startup; the result goes to onReadResult().
     */
    [[nodiscard]] PlanActions load(TimePoint now);

    /** \brief Processes the result of update \a writeId; ignores results of earlier updates. */
    [[nodiscard]] PlanActions onWriteResult(std::uint64_t writeId, const WriteResult &result,
                                            TimePoint now);
    [[nodiscard]] PlanActions onReadResult(const ReadResult &result, TimePoint now);

    /** \brief Handles expired timeouts and backoffs; call at least every 100 ms. */
    [[nodiscard]] PlanActions tick(TimePoint now);

private:
    enum class Phase : std::uint8_t { Idle, Writing, Reading, WaitingToWrite, WaitingToRead };

    /** \brief Update that is outstanding or whose result is unknown. */
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
    void returnToIdle();
    [[nodiscard]] bool advanceTo(const Plan &plan);

    PlanWriterSettings settings;
    Counters &counters;
    Random &random;
    Plan newest;
    std::uint64_t storeVersion = 0; //!< Last known version of the plan object; 0: none.
    std::optional<Attempt> attempt;
    Phase phase = Phase::Idle;
    TimePoint phaseEnd{};
    std::optional<TimePoint> lastTick;
    /** \brief Start of the first update or failed read that no success has followed yet. */
    std::optional<TimePoint> withoutSuccessSince;
    unsigned failures = 0;
    bool overlayUnsaved = false; //!< An overlay was published since the attempt began.
};

} // namespace bulrushgap
