#include "base/Counters.h"

namespace bulrushgap {

void Counters::add(std::string_view name, std::uint64_t amount)
{
    const auto found = this->events.find(name);
    if (found != this->events.end())
        found->second += amount;
    else
        this->events.emplace(name, amount);
}

std::uint64_t Counters::value(std::string_view name) const
{
    const auto found = this->events.find(name);
    return found == this->events.end() ? 0 : found->second;
}

void Counters::visit(const Visitor &visit) const
{
    for (std::size_t i = 0; i < this->refusals.size(); ++i)
        visit("refusal", toString(static_cast<RefusalReason>(i)), this->refusals.at(i));
    for (std::size_t i = 0; i < this->retries.size(); ++i)
        visit("retry", toString(static_cast<RetryReason>(i)), this->retries.at(i));
    for (const auto &[name, value] : this->events)
        visit("event", name, value);
}

} // namespace bulrushgap
