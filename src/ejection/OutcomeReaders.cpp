#include "ejection/OutcomeReaders.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::balance {

OutcomeReaderId OutcomeReaders::add(const OutcomeReports &first)
{
    const OutcomeReaderId id = ++this->lastId;
    Reader &reader = this->readers[id];
    for (const OutcomeReport &report : first)
        reader.pendingReports.add(report, this->scheduler.now());
    return id;
}

void OutcomeReaders::poll(OutcomeReaderId id, std::chrono::milliseconds wait,
                          OutcomeResponder respond)
{
    const auto found = this->readers.find(id);
    if (found == this->readers.end())
        return;
    Reader &reader = found->second;
    if (const auto previous = std::exchange(reader.respond, std::move(respond)))
        previous({});
    reader.answerScheduled = false;
    if (!reader.pendingReports.empty())
        return this->scheduleAnswer(id, reader);
    const auto bounded = std::clamp(wait, outcomeReportInterval, outcomePollWait);
    reader.timer = this->scheduler.after(bounded, [this, id] { this->answer(id); });
}

void OutcomeReaders::report(const OutcomeReport &report, std::optional<OutcomeReaderId> sender)
{
    for (auto &[id, reader] : this->readers) {
        if (id == sender)
            continue;
        reader.pendingReports.add(report, this->scheduler.now());
        if (reader.respond && !reader.answerScheduled)
            this->scheduleAnswer(id, reader);
    }
}

void OutcomeReaders::scheduleAnswer(OutcomeReaderId id, Reader &reader)
{
    reader.answerScheduled = true;
    const Duration left = reader.answeredAt + outcomeReportInterval - this->scheduler.now();
    reader.timer
        = this->scheduler.after(std::max(left, Duration::zero()), [this, id] { this->answer(id); });
}

void OutcomeReaders::answer(OutcomeReaderId id)
{
    const auto found = this->readers.find(id);
    if (found == this->readers.end())
        return;
    Reader &reader = found->second;
    const TimePoint now = this->scheduler.now();
    reader.answerScheduled = false;
    reader.answeredAt = now;
    const OutcomeResponder respond = std::exchange(reader.respond, {});
    if (respond)
        respond(reader.pendingReports.take(now)); // May remove the reader.
}

} // namespace bulrushgap::balance
