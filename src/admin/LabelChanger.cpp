#include "admin/LabelChanger.h"

#include "admin/LabelMatcher.h"

#include <utility>

namespace bulrushgap {

struct LabelChanger::Attempt
{
    std::string key;
    LabelChange change;
    Handler handler;
    bool first = true;
    std::optional<std::string> initial; //!< Value of the label at the first reading.
    int conflicts = 0;
};

struct LabelChanger::Series
{
    std::vector<std::string> keys;
    LabelChange change;
    ListHandler handler;
    std::vector<LabelReport> reports;
};

void applyLabel(boost::json::value &value, const std::string &label,
                const std::optional<std::string> &wanted)
{
    if (!value.is_object())
        value.emplace_object();
    auto &labels = value.get_object()["labels"];
    if (!labels.is_object())
        labels.emplace_object();
    if (wanted)
        labels.get_object()[label] = *wanted;
    else
        labels.get_object().erase(label);
}

void LabelChanger::change(const std::string &key, const LabelChange &change, const Handler &handler)
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->key = key;
    attempt->change = change;
    attempt->handler = handler;
    this->read(attempt);
}

void LabelChanger::read(const std::shared_ptr<Attempt> &attempt)
{
    this->store.get(attempt->key, [this, attempt](GetOutcome outcome) {
        if (outcome.result != PlatformResult::Ok)
            attempt->handler(LabelReport{attempt->key, false, outcome.result, 0});
        else
            this->write(attempt, std::move(outcome.object));
    });
}

void LabelChanger::write(const std::shared_ptr<Attempt> &attempt, StoredObject object)
{
    constexpr int conflictLimit = 8;
    const LabelChange &change = attempt->change;
    const auto now = labelOf(object.value, change.label);
    const auto report = [&](PlatformResult result) {
        attempt->handler(LabelReport{attempt->key, false, result, object.version.number});
    };
    const bool decidedByOther = !std::exchange(attempt->first, false) && now != attempt->initial;
    attempt->initial = now;
    if (now == change.value || (change.onlyFrom && now != change.onlyFrom)) {
        report(PlatformResult::Ok);
        return;
    }
    if (decidedByOther || attempt->conflicts == conflictLimit) {
        report(PlatformResult::Conflict);
        return;
    }
    applyLabel(object.value, change.label, change.value);
    const auto onWritten = [this, attempt](const WriteReport &written) {
        if (written.result != PlatformResult::Conflict) {
            const bool changed = written.result == PlatformResult::Ok;
            attempt->handler(LabelReport{attempt->key, changed, written.result, written.version});
            return;
        }
        ++attempt->conflicts;
        this->read(attempt);
    };
    this->writer.write(attempt->key, std::move(object.value), object.version.number, onWritten);
}

void LabelChanger::changeAll(std::vector<std::string> keys, const LabelChange &change,
                             const ListHandler &handler)
{
    this->changeNext(std::make_shared<Series>(Series{std::move(keys), change, handler, {}}));
}

void LabelChanger::changeNext(const std::shared_ptr<Series> &series)
{
    const std::size_t done = series->reports.size();
    const bool down = done > 0 && series->reports.back().result == PlatformResult::Unavailable;
    if (down) {
        for (std::size_t i = done; i < series->keys.size(); ++i)
            series->reports.push_back(
                LabelReport{series->keys[i], false, PlatformResult::Unavailable, 0});
    }
    if (series->reports.size() == series->keys.size()) {
        series->handler(series->reports);
        return;
    }
    this->change(series->keys[done], series->change, [this, series](const LabelReport &report) {
        series->reports.push_back(report);
        this->changeNext(series);
    });
}

} // namespace bulrushgap
