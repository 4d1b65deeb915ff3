#include "flow/FlowStore.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

namespace internal {

/** \brief Upper bound on the duration of a full sweep, in units of the coarse clock. */
constexpr std::int64_t sweepCoarseUnits = 16;

} // namespace internal

void FlowStore::setNext(const Plan &plan)
{
    for (const PlanService &service : plan.services) {
        if (service.id.value >= this->services.size())
            this->services.resize(std::size_t{service.id.value} + 1);
        auto &state = this->services[service.id.value];
        if (state == nullptr) {
            state = std::make_unique<ServiceState>();
            state->id = service.id;
        }
        state->next = this->tableFor(service, plan);
        const UpstreamAvailabilityTable availability(service, plan.domains);
        const bool changed = availability != state->availability;
        state->availability = availability;
        if (changed)
            this->eraseUnusable(*state);
    }
    for (auto &state : this->services) {
        if (state == nullptr || plan.service(state->id) != nullptr)
            continue;
        state->next = nullptr;
        state->availability = {};
        if (state->base == nullptr) {
            this->flowCount -= state->flows.size();
            state.reset();
        }
    }
    this->tableServices = plan.services;
    this->tableDomains = plan.domains;
}

void FlowStore::eraseUnusable(ServiceState &state)
{
    std::vector<std::uint64_t> unusable;
    for (std::size_t bucket = 0; bucket < bucketCount; ++bucket)
        state.flows.visitBucket(static_cast<std::uint16_t>(bucket), [&](const FlowRecord &record) {
            if (!state.isUsable(record.upstream))
                unusable.push_back(flowHashOf(record));
        });
    for (const std::uint64_t flow : unusable)
        this->erase(state, flow);
}

void FlowStore::promote()
{
    for (auto &state : this->services) {
        if (state == nullptr)
            continue;
        state->base = state->next;
        if (state->base == nullptr) {
            this->flowCount -= state->flows.size();
            state.reset();
        }
    }
}

void FlowStore::insert(ServiceState &service, std::uint64_t flowHash, UpstreamId upstream)
{
    if (this->flowCount >= this->options.capacity
        && service.flows.evictNear(bucketOf(flowHash), service.table(), this->coarseTime)) {
        --this->flowCount;
        this->counters.add("flow_evicted");
    }
    const std::size_t before = service.flows.size();
    if (this->flowCount < this->options.capacity || before == 0)
        service.flows.insert(flowHash, upstream, this->coarseTime);
    this->flowCount += service.flows.size() - before;
}

std::size_t FlowStore::merge(std::span<const ServiceFlows> flows, bool replace)
{
    std::size_t conflicts = 0;
    for (const ServiceFlows &list : flows) {
        ServiceState *service = this->find(list.service);
        if (service == nullptr)
            continue;
        for (const FlowRecord &record : list.flows) {
            if (record.bucket >= bucketCount || !service->isUsable(record.upstream))
                continue;
            const std::uint64_t flowHash = flowHashOf(record);
            const auto known = service->flows.find(flowHash, this->coarseTime);
            if (known && *known != record.upstream)
                ++conflicts;
            // Digests and unions contain exceptions only. An exception must override a flow that is
            // recorded as ordinary, or instances that served with different plans never agree
            // again.
            if (!known || replace || *known == service->nextUpstream(record.bucket))
                this->insert(*service, flowHash, record.upstream);
        }
    }
    return conflicts;
}

bool FlowStore::erase(ServiceState &service, std::uint64_t flowHash)
{
    if (!service.flows.erase(flowHash))
        return false;
    --this->flowCount;
    return true;
}

bool FlowStore::hasFlowsInUnmovedBuckets(std::span<const ServiceFlows> flows) const
{
    return std::ranges::any_of(flows, [&](const ServiceFlows &list) {
        const auto *service = list.service.value < this->services.size()
                                  ? this->services[list.service.value].get()
                                  : nullptr;
        return service != nullptr && std::ranges::any_of(list.flows, [&](const FlowRecord &record) {
                   return record.bucket < bucketCount && !service->isMoved(record.bucket);
               });
    });
}

std::bitset<bucketGroupCount> FlowStore::movedGroups() const
{
    std::bitset<bucketGroupCount> groups;
    this->visitServices([&](const ServiceState &service) {
        for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket)
            if (service.isMoved(bucket))
                groups.set(groupOf(bucket));
    });
    return groups;
}

std::vector<ServiceFlows> FlowStore::exceptions(const std::bitset<bucketGroupCount> &groups,
                                                bool movedOnly) const
{
    std::vector<ServiceFlows> result;
    this->visitServices([&](const ServiceState &service) {
        if (movedOnly && service.base == service.next)
            return;
        ServiceFlows list{service.id, {}};
        for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket) {
            if (!groups.test(groupOf(bucket)) || (movedOnly && !service.isMoved(bucket)))
                continue;
            service.flows.visitBucket(bucket, [&](const FlowRecord &record) {
                if (record.upstream != service.nextUpstream(bucket)
                    && service.isUsable(record.upstream))
                    list.flows.push_back(record);
            });
        }
        if (!list.flows.empty())
            result.push_back(std::move(list));
    });
    return result;
}

std::vector<ServiceFlows> FlowStore::baseExceptions(std::size_t limit) const
{
    std::vector<ServiceFlows> result;
    this->visitServices([&](const ServiceState &service) {
        ServiceFlows list{service.id, {}};
        for (std::uint16_t bucket = 0; bucket < bucketCount; ++bucket)
            service.flows.visitBucket(bucket, [&](const FlowRecord &record) {
                if (limit > 0 && record.upstream != service.baseUpstream(bucket)) {
                    list.flows.push_back(record);
                    --limit;
                }
            });
        if (!list.flows.empty())
            result.push_back(std::move(list));
    });
    return result;
}

void FlowStore::setCoarseTime(TimePoint time)
{
    const auto units = time.time_since_epoch() / this->coarseUnit;
    this->coarseTimeEnd = TimePoint((units + 1) * this->coarseUnit);
    this->coarseTime = static_cast<CoarseTime>(units);
}

void FlowStore::tick(TimePoint now)
{
    this->advanceClock(now);
    if (!std::exchange(this->started, true))
        this->lastSweep = now;
    const Duration cycle = this->coarseUnit * internal::sweepCoarseUnits;
    const Duration elapsed = std::min(now - this->lastSweep, cycle);
    // Skips calls until at least 1 run in 4,096 is due, to avoid rounding errors.
    if (elapsed < cycle / bucketCount)
        return;
    this->lastSweep = now;
    for (auto &service : this->services) {
        if (service == nullptr)
            continue;
        const std::uint64_t runs = service->flows.runCount();
        const auto due = (runs * static_cast<std::uint64_t>(elapsed.count()))
                             / static_cast<std::uint64_t>(cycle.count())
                         + 1;
        this->flowCount -= service->flows.sweep(due, service->table(), this->options.idleLimits,
                                                this->coarseTime);
    }
}

std::size_t FlowStore::bytes() const
{
    std::size_t total = this->services.capacity() * sizeof(void *);
    this->visitServices([&](const ServiceState &service) {
        const std::size_t tables = service.base == service.next ? 1 : 2;
        total += sizeof(service) + service.flows.bytes() + tables * sizeof(BucketTable);
    });
    return total;
}

void FlowStore::visitServices(const std::function<void(const ServiceState &)> &visit) const
{
    for (const auto &service : this->services)
        if (service != nullptr)
            visit(*service);
}

std::shared_ptr<const BucketTable> FlowStore::tableFor(const PlanService &service,
                                                       const Plan &plan) const
{
    // Reuses the table if its inputs are unchanged: most plans change only one of many services.
    const auto previous
        = std::ranges::lower_bound(this->tableServices, service.id, {}, &PlanService::id);
    const auto &state = this->services[service.id.value];
    if (state->next != nullptr && previous != this->tableServices.end()
        && previous->upstreams == service.upstreams && this->tableDomains == plan.domains)
        return state->next;
    return std::make_shared<const BucketTable>(service, plan.domains, this->hash);
}

} // namespace bulrushgap
