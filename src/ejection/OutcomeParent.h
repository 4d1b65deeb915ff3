#pragma once

#include "base/Scheduler.h"
#include "ejection/OutcomeReport.h"
#include "ejection/PendingReports.h"
#include "service/Backoff.h"
#include "view/ViewSource.h"

#include <functional>
#include <memory>
#include <optional>

namespace bulrushgap::balance {

/** \brief Callbacks of OutcomeParent. */
struct OutcomeParentHooks
{
    /** \returns the instance of the own domain from which the view is read, if there is one. */
    std::function<std::optional<ViewSource>()> parent;

    /** \returns a connection to another instance. */
    std::function<std::unique_ptr<OutcomeSource>(const ViewSource &source)> connect;

    /** Receives reports of the parent. */
    std::function<void(const OutcomeReports &reports)> onReports;

    /** \returns the ejections in force, which a new parent receives first. */
    std::function<OutcomeReports()> ejections;
};

/** \brief Exchanges reports with the instance from which this one reads its view.
 *
 * Keeps one request pending there. After a failure it tries again with increasing delays.
 */
class OutcomeParent
{
public:
    OutcomeParent(const Scheduler &scheduler, Random &random, OutcomeParentHooks hooks);

    void start() { this->check(); }

    /** \brief Adds a report for the parent. */
    void report(const OutcomeReport &report);

    /** \returns whether the parent has answered the last request. */
    [[nodiscard]] bool isConnected() const { return this->connected; }

private:
    void check();
    void checkAfter(Duration delay);
    void poll(bool first);
    void onReply(const std::optional<OutcomeReports> &reply);
    void send();

    const Scheduler &scheduler;
    OutcomeParentHooks hooks;
    Backoff backoff;
    PendingReports pendingReports;
    std::optional<ViewSource> source;
    std::unique_ptr<OutcomeSource> client;
    Scheduler::Timer checkTimer;
    Scheduler::Timer sendTimer;
    TimePoint sentAt{};
    TimePoint polledAt{};
    bool connected = false;
};

} // namespace bulrushgap::balance
