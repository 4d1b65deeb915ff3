#include "ejection/OutcomeParent.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

namespace internal {

/** Interval of the checks for a parent while there is none. */
constexpr Duration parentCheckInterval = std::chrono::seconds(1);

/** A parent of another version closes the connection at each attempt. */
constexpr Duration firstParentRetry = std::chrono::milliseconds(500);
constexpr Duration maxParentRetry = std::chrono::seconds(15);

} // namespace internal

OutcomeParent::OutcomeParent(const Scheduler &scheduler, Random &random, OutcomeParentHooks hooks)
    : scheduler(scheduler)
    , hooks(std::move(hooks))
    , backoff(internal::firstParentRetry, internal::maxParentRetry, random)
{}

void OutcomeParent::check()
{
    const auto next = this->hooks.parent();
    if (!next) {
        this->source.reset();
        this->client.reset();
        this->connected = false;
        this->pendingReports.clear();
        return this->checkAfter(internal::parentCheckInterval);
    }
    const bool changed = next != this->source;
    if (changed) {
        this->source = next;
        this->client = this->hooks.connect(*next);
        this->connected = false;
    }
    if (this->client)
        this->poll(!this->connected);
    else
        this->checkAfter(internal::parentCheckInterval);
}

void OutcomeParent::checkAfter(Duration delay)
{
    this->checkTimer = this->scheduler.after(delay, [this] { this->check(); });
}

void OutcomeParent::poll(bool first)
{
    const TimePoint now = this->scheduler.now();
    this->polledAt = now;
    if (first) {
        for (const OutcomeReport &report : this->hooks.ejections())
            this->pendingReports.add(report, now);
    }
    // Without a wait, the first reply soon shows whether the other instance exchanges reports.
    const auto wait = first ? std::chrono::milliseconds(0) : outcomePollWait;
    OutcomeRequest request{this->pendingReports.take(now), wait, true};
    if (!request.reports.empty())
        this->sentAt = now;
    this->client->exchange(request, [this](const auto &reply) { this->onReply(reply); });
}

void OutcomeParent::onReply(const std::optional<OutcomeReports> &reply)
{
    if (!reply) {
        this->connected = false;
        return this->checkAfter(this->backoff.next());
    }
    this->connected = true;
    this->backoff.reset();
    // A parent that answers at once, again and again, must not cause a request each time.
    const Duration left = this->polledAt + outcomeReportInterval - this->scheduler.now();
    this->checkAfter(std::max(left, Duration::zero()));
    this->hooks.onReports(*reply);
}

void OutcomeParent::report(const OutcomeReport &report)
{
    if (!this->source)
        return;
    this->pendingReports.add(report, this->scheduler.now());
    if (!this->connected || this->sendTimer)
        return;
    const Duration left = this->sentAt + outcomeReportInterval - this->scheduler.now();
    this->sendTimer
        = this->scheduler.after(std::max(left, Duration::zero()), [this] { this->send(); });
}

void OutcomeParent::send()
{
    this->sendTimer.reset();
    const TimePoint now = this->scheduler.now();
    const OutcomeReports reports = this->pendingReports.take(now);
    if (reports.empty() || !this->client)
        return;
    this->sentAt = now;
    // The pending poll fails with the connection, so this reply is not needed.
    this->client->exchange({reports, {}, false}, [](const auto &) {});
}

} // namespace bulrushgap::balance
