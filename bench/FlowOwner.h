#pragma once

#include "Baseline.h"

namespace bulrushgap::bench {

/** \brief An owner per flow, by rendezvous hashing over the live instances of the plan.
 *
 * Other instances relay all packets of the flow to its owner, which alone holds its state.
 */
class FlowOwner : public Mechanism
{
public:
    FlowOwner(InstanceId self, const KeyedHash &hash)
        : self(self)
        , hash(hash)
        , table(hash)
    {}

    FlowDecision route(std::uint64_t flowHash, TimePoint now, bool relayed) override
    {
        const InstanceId owner = this->ownerOf(flowHash);
        if (owner != this->self && !relayed)
            return ToArbiter{owner};
        return this->table.route(flowHash, now, relayed);
    }

    void onPlan(const Plan &plan, TimePoint now, Outbox &out) override
    {
        this->instances.clear();
        for (const PlanInstance &instance : plan.instances)
            this->instances.push_back(instance.id);
        this->table.onPlan(plan, now, out);
    }

    void onInstanceDead(InstanceId instance, TimePoint /*now*/, Outbox & /*out*/) override
    {
        std::erase(this->instances, instance);
    }

    [[nodiscard]] std::size_t bytes() const override { return this->table.bytes(); }

private:
    [[nodiscard]] InstanceId ownerOf(std::uint64_t flowHash) const
    {
        InstanceId best = this->self;
        std::uint64_t bestRank = 0;
        for (const InstanceId id : this->instances) {
            const std::uint64_t rank = this->hash(flowHash, id.value);
            if (rank >= bestRank) {
                best = id;
                bestRank = rank;
            }
        }
        return best;
    }

    InstanceId self;
    KeyedHash hash;
    Baseline table;
    std::vector<InstanceId> instances;
};

} // namespace bulrushgap::bench
