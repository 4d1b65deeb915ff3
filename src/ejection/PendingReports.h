#pragma once

#include "base/Time.h"
#include "ejection/OutcomeReport.h"

#include <span>
#include <vector>

namespace bulrushgap::balance {

/** \brief Reports that one other instance has not received yet, one for each upstream. */
class PendingReports
{
public:
    /** \brief Adds the counts of a report; drops one if there are too many upstreams. */
    void add(const OutcomeReport &report, TimePoint now);

    /** \returns the reports younger than maxOutcomeReportAge, and removes all. */
    [[nodiscard]] OutcomeReports take(TimePoint now);

    [[nodiscard]] bool empty() const { return this->entries.empty(); }
    void clear() { this->entries.clear(); }

private:
    struct Entry
    {
        OutcomeReport report;
        TimePoint since; //!< When the first of its counts was added.
    };

    void addEntry(const Entry &entry);
    void removeOld(TimePoint now);

    std::vector<Entry> entries;
};

} // namespace bulrushgap::balance
