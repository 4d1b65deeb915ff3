#include "ejection/PendingReports.h"

#include <algorithm>
#include <limits>

namespace bulrushgap::balance {

namespace internal {

std::uint16_t sumOf(std::uint16_t first, std::uint16_t second)
{
    constexpr unsigned maximum = std::numeric_limits<std::uint16_t>::max();
    return static_cast<std::uint16_t>(std::min(maximum, unsigned{first} + second));
}

} // namespace internal

void PendingReports::add(const OutcomeReport &report, TimePoint now)
{
    this->removeOld(now);
    const auto found = std::ranges::find_if(
        this->entries, [&](const Entry &entry) { return entry.report.flowTag == report.flowTag; });
    if (found == this->entries.end()) {
        this->addEntry({report, now});
        return;
    }
    OutcomeReport &known = found->report;
    if (report.reinstated) {
        // Failures from before the return must not eject the upstream again.
        known = report;
        return;
    }
    known.failures = internal::sumOf(known.failures, report.failures);
    known.requests = internal::sumOf(known.requests, report.requests);
    known.ejectedMs = std::max(known.ejectedMs, report.ejectedMs);
}

void PendingReports::addEntry(const Entry &entry)
{
    if (this->entries.size() < maxOutcomeReports) {
        this->entries.push_back(entry);
        return;
    }
    // Requests without a failure only make the failed share of other instances more exact.
    const auto isMinor = [](const Entry &known) {
        return known.report.failures == 0 && !known.report.reinstated;
    };
    const auto replaced = std::ranges::find_if(this->entries, isMinor);
    if (!isMinor(entry) && replaced != this->entries.end())
        *replaced = entry;
}

OutcomeReports PendingReports::take(TimePoint now)
{
    this->removeOld(now);
    OutcomeReports reports;
    for (const Entry &entry : this->entries)
        reports.push_back(entry.report);
    this->entries.clear();
    return reports;
}

void PendingReports::removeOld(TimePoint now)
{
    std::erase_if(this->entries,
                  [&](const Entry &entry) { return now - entry.since > maxOutcomeReportAge; });
}

} // namespace bulrushgap::balance
