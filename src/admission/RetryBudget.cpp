#include "admission/RetryBudget.h"

#include <cmath>

namespace bulrushgap {

void RetryBudget::onSuccess(TimePoint now)
{
    this->fade(now);
    this->successes += 1;
}

bool RetryBudget::trySpend(TimePoint now)
{
    this->fade(now);
    const double allowed = this->settings.floor + this->settings.share * this->successes;
    if (this->retries + 1 > allowed)
        return false;
    this->retries += 1;
    return true;
}

void RetryBudget::fade(TimePoint now)
{
    if (now <= this->fadedAt)
        return;
    const auto elapsed = static_cast<double>((now - this->fadedAt).count());
    const double factor = std::exp(-elapsed / static_cast<double>(this->settings.decay.count()));
    this->successes *= factor;
    this->retries *= factor;
    this->fadedAt = now;
}

} // namespace bulrushgap
