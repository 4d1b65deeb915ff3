#pragma once

#include "Mechanism.h"

namespace bulrushgap::bench {

/** \brief Consistent hashing with a flow table per instance and no exchange.
 *
 * Uses the product's bucket and flow tables, so that the difference in time is that of the
 * mechanism. A plan is in force on an instance as soon as it arrives there.
 */
class Baseline : public Mechanism
{
public:
    explicit Baseline(const KeyedHash &hash)
        : store({}, hash, this->counters)
    {}

    FlowDecision route(std::uint64_t flowHash, TimePoint now, bool relayed) override;
    void onPlan(const Plan &plan, TimePoint now, Outbox &out) override;
    [[nodiscard]] std::size_t bytes() const override { return this->store.bytes(); }

private:
    Counters counters;
    FlowStore store;
};

} // namespace bulrushgap::bench
