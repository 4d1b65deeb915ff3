#include "membership/DomainGate.h"

#include <algorithm>

namespace bulrushgap {

void DomainGate::onPlanInForce(const Plan &plan)
{
    this->inForce = plan.id;
    this->out.clear();
    for (const PlanDomain &domain : plan.domains) {
        if (domain.out)
            this->out.push_back(domain.id);
    }
    std::erase_if(this->heard,
                  [&](const auto &item) { return plan.domain(item.first) == nullptr; });
}

void DomainGate::onHeartbeat(DomainId domain, PlanId inForce, TimePoint now)
{
    HeardSequence &sequence = this->heard[domain];
    while (!sequence.empty() && sequence.back().inForce >= inForce)
        sequence.pop_back();
    sequence.push_back({now, inForce});
    while (now - sequence.front().time > this->window || sequence.size() > longestSequence)
        sequence.pop_front();
}

std::optional<RefusalReason> DomainGate::refusal(DomainId domain, TimePoint now) const
{
    if (std::ranges::find(this->out, domain) != this->out.end())
        return RefusalReason::DomainOut;
    if (domain == this->own)
        return std::nullopt;
    const auto sequence = this->heard.find(domain);
    if (sequence == this->heard.end())
        return RefusalReason::DomainUnreachable;
    const bool reachable = std::ranges::any_of(sequence->second, [&](const Heard &heartbeat) {
        return now - heartbeat.time <= this->window && heartbeat.inForce <= this->inForce;
    });
    if (reachable)
        return std::nullopt;
    return RefusalReason::DomainUnreachable;
}

} // namespace bulrushgap
