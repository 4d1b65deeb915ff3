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
    std::erase_if(this->heartbeats,
                  [&](const auto &item) { return plan.domain(item.first) == nullptr; });
}

void DomainGate::onHeartbeat(DomainId domain, PlanId inForce, TimePoint now)
{
    HeartbeatQueue &queue = this->heartbeats[domain];
    while (!queue.empty() && queue.back().inForce >= inForce)
        queue.pop_back();
    queue.push_back({now, inForce});
    while (now - queue.front().time > this->window || queue.size() > maxQueueLength)
        queue.pop_front();
}

std::optional<RefusalReason> DomainGate::refusal(DomainId domain, TimePoint now) const
{
    if (std::ranges::find(this->out, domain) != this->out.end())
        return RefusalReason::DomainOut;
    if (domain == this->own)
        return std::nullopt;
    const auto queue = this->heartbeats.find(domain);
    if (queue == this->heartbeats.end())
        return RefusalReason::DomainUnreachable;
    const bool reachable
        = std::ranges::any_of(queue->second, [&](const ReceivedHeartbeat &heartbeat) {
              return now - heartbeat.time <= this->window && heartbeat.inForce <= this->inForce;
          });
    if (reachable)
        return std::nullopt;
    return RefusalReason::DomainUnreachable;
}

} // namespace bulrushgap
