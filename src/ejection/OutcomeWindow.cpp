#include "ejection/OutcomeWindow.h"

namespace bulrushgap::balance {

void OutcomeWindow::add(const OutcomeCounts &counts, TimePoint now)
{
    const std::int64_t number = numberOf(now);
    Step &step = this->steps.at(static_cast<std::size_t>(number) % stepCount);
    if (step.number != number)
        step = {number, {}};
    step.counts += counts;
}

OutcomeCounts OutcomeWindow::total(TimePoint now) const
{
    const std::int64_t oldest = numberOf(now) - static_cast<std::int64_t>(stepCount);
    OutcomeCounts total;
    for (const Step &step : this->steps) {
        if (step.number > oldest)
            total += step.counts;
    }
    return total;
}

} // namespace bulrushgap::balance
