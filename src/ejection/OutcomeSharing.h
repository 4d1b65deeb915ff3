#pragma once

#include "ejection/OutcomeParent.h"
#include "ejection/OutcomeReaders.h"
#include "ejection/OutcomeReport.h"

#include <functional>
#include <memory>
#include <optional>

namespace bulrushgap::balance {

/** \brief Callbacks of OutcomeSharing. */
struct OutcomeSharingHooks
{
    /** \returns the instance of the own domain from which the view is read, if there is one. */
    std::function<std::optional<ViewSource>()> parent;

    /** \returns a connection to another instance, or null. */
    std::function<std::unique_ptr<OutcomeSource>(const ViewSource &source)> connect;

    /** Receives a report of another instance. */
    std::function<void(const OutcomeReport &report)> onReport;

    /** \returns the ejections in force. */
    std::function<OutcomeReports()> ejections;
};

/** \brief Distributes the outcomes that the instances of a failure domain observe.
 *
 * The connections form the tree in which instances read their view. A report that arrives from one
 * neighbour is passed on to all others, so it reaches each instance once. Reports are sums; a lost
 * message loses counts.
 */
class OutcomeSharing
{
public:
    OutcomeSharing(const Scheduler &scheduler, Random &random, OutcomeSharingHooks hooks);

    /** \brief Starts the exchange with the parent. */
    void start();

    /** \brief Sends a report of this instance to all neighbours. */
    void report(const OutcomeReport &report);

    /** \brief Adds an instance that reads its view from this one. */
    [[nodiscard]] OutcomeReaderId addReader() { return this->readers.add(this->hooks.ejections()); }

    /** \brief Removes a reader whose connection was closed. */
    void removeReader(OutcomeReaderId id) { this->readers.remove(id); }

    /** \brief Distributes the reports of a reader; responds when there are reports for it. */
    void onRequest(OutcomeReaderId id, const OutcomeRequest &request, OutcomeResponder respond);

    /** \returns whether reports are exchanged with any other instance. */
    [[nodiscard]] bool hasNeighbours() const
    {
        return this->parent.isConnected() || !this->readers.empty();
    }

private:
    [[nodiscard]] OutcomeParentHooks parentHooks();

    OutcomeSharingHooks hooks;
    OutcomeReaders readers;
    OutcomeParent parent;
    bool started = false;
};

} // namespace bulrushgap::balance
