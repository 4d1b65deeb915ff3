#include "admission/RetryBudget.h"

#include <cmath>

namespace bulrushgap {

void RetryBudget::onSuccess(TimePoint now)
{
    this->applyDecay(now);
    this->successes += 1;
}

bool RetryBudget::trySpend(TimePoint now)
{
    this->applyDecay(now);
    const double allowed
        = this->settings.minimalRetries + this->settings.retriesPerSuccess * this->successes;
    if (this->retries + 1 > allowed)
        return false;
    this->retries += 1;
    return true;
}

void RetryBudget::applyDecay(TimePoint now)
{
    if (now <= this->decayedAt)
        return;
    const auto elapsed = static_cast<double>((now - this->decayedAt).count());
    const double factor
        = std::exp(-elapsed / static_cast<double>(this->settings.decayTime.count()));
    this->successes *= factor;
    this->retries *= factor;
    this->decayedAt = now;
}

} // namespace bulrushgap
