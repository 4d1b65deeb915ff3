#pragma once

#include "base/Scheduler.h"
#include "ejection/OutcomeReport.h"
#include "ejection/PendingReports.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace bulrushgap::balance {

/** \brief Identifies an instance that reads its view from this one. */
using OutcomeReaderId = std::uint64_t;

/** \brief Sends a reply to an OutcomeRequest. */
using OutcomeResponder = std::function<void(const OutcomeReports &reports)>;

/** \brief Passes reports on to the instances that read their view from this one.
 *
 * Each has a pending request, which is answered when there are reports for it.
 */
class OutcomeReaders
{
public:
    explicit OutcomeReaders(const Scheduler &scheduler)
        : scheduler(scheduler)
    {}

    /** \brief Adds a reader.
     * \param first reports that it receives first */
    [[nodiscard]] OutcomeReaderId add(const OutcomeReports &first);
    void remove(OutcomeReaderId id) { this->readers.erase(id); }

    /** \brief Answers at the next reports, or after \a wait. */
    void poll(OutcomeReaderId id, std::chrono::milliseconds wait, OutcomeResponder respond);

    /** \brief Adds a report for all readers but \a sender. */
    void report(const OutcomeReport &report, std::optional<OutcomeReaderId> sender);

    [[nodiscard]] bool empty() const { return this->readers.empty(); }

private:
    struct Reader
    {
        PendingReports pendingReports;
        OutcomeResponder respond; //!< Empty while no request is pending.
        Scheduler::Timer timer;
        TimePoint answeredAt{};
        bool answerScheduled = false;
    };

    void scheduleAnswer(OutcomeReaderId id, Reader &reader);
    void answer(OutcomeReaderId id);

    const Scheduler &scheduler;
    std::map<OutcomeReaderId, Reader> readers;
    OutcomeReaderId lastId = 0;
};

} // namespace bulrushgap::balance
