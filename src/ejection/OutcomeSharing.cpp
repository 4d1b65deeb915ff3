#include "ejection/OutcomeSharing.h"

#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** \returns the report without the ejection, which only concerns the instance that it was sent to.
 */
OutcomeReport withoutEjection(OutcomeReport report)
{
    report.ejectedMs = 0;
    return report;
}

/** \returns whether the report concerns the whole tree, not only the instance it was sent to. */
bool isForAll(const OutcomeReport &report)
{
    return report.requests > 0 || report.reinstated;
}

} // namespace internal

OutcomeSharing::OutcomeSharing(const Scheduler &scheduler, Random &random,
                               OutcomeSharingHooks hooks)
    : hooks(std::move(hooks))
    , readers(scheduler)
    , parent(scheduler, random, this->parentHooks())
{}

OutcomeParentHooks OutcomeSharing::parentHooks()
{
    OutcomeParentHooks result;
    result.parent = this->hooks.parent;
    result.connect = this->hooks.connect;
    result.ejections = this->hooks.ejections;
    result.onReports = [this](const OutcomeReports &reports) {
        for (const OutcomeReport &report : reports) {
            if (internal::isForAll(report))
                this->readers.report(internal::withoutEjection(report), std::nullopt);
            this->hooks.onReport(report);
        }
    };
    return result;
}

void OutcomeSharing::start()
{
    if (!std::exchange(this->started, true))
        this->parent.start();
}

void OutcomeSharing::report(const OutcomeReport &report)
{
    this->parent.report(report);
    this->readers.report(report, std::nullopt);
}

void OutcomeSharing::onRequest(OutcomeReaderId id, const OutcomeRequest &request,
                               OutcomeResponder respond)
{
    for (const OutcomeReport &report : request.reports) {
        if (internal::isForAll(report)) {
            this->parent.report(internal::withoutEjection(report));
            this->readers.report(internal::withoutEjection(report), id);
        }
        this->hooks.onReport(report);
    }
    if (request.poll)
        this->readers.poll(id, request.wait, std::move(respond));
    else
        respond({});
}

} // namespace bulrushgap::balance
