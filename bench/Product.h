#pragma once

#include "Mechanism.h"

namespace bulrushgap::bench {

/** \brief The product's flow router. */
class Product : public Mechanism
{
public:
    Product(InstanceId self, const KeyedHash &hash)
        : router(self, 1, {}, hash, this->counters, {})
    {}

    FlowDecision route(std::uint64_t flowHash, TimePoint now, bool relayed) override
    {
        return this->router.route(ServiceId{1}, flowHash, now, relayed);
    }
    void onPlan(const Plan &plan, TimePoint now, Outbox &out) override
    {
        if (this->router.newestPlan() == nullptr)
            this->router.loadSnapshot({plan, {}}, now, out);
        else
            this->router.onPlan(plan, now, out);
    }
    void onJoin(const Mechanism &source, TimePoint now, Outbox &out) override
    {
        if (const auto snapshot = dynamic_cast<const Product &>(source).router.snapshot())
            this->router.loadSnapshot(*snapshot, now, out);
    }
    void onMessage(InstanceId from, const PeerMessage &message, TimePoint now, Outbox &out) override
    {
        if (const auto *digest = std::get_if<Digest>(&message))
            this->router.onDigest(from, *digest, now, out);
        else if (const auto *prepared = std::get_if<Prepared>(&message))
            this->router.onPrepared(from, *prepared, now, out);
        else if (const auto *unionMessage = std::get_if<Union>(&message))
            this->router.onUnion(from, *unionMessage, now, out);
        else if (const auto *inForce = std::get_if<InForce>(&message))
            this->router.onInForce(from, *inForce, now, out);
    }
    void onInstanceDead(InstanceId instance, TimePoint now, Outbox &out) override
    {
        this->router.onInstanceDead(instance, now, out);
    }
    void tick(TimePoint now, Outbox &out) override { this->router.tick(now, out); }
    [[nodiscard]] std::size_t bytes() const override { return this->router.bytes(); }

private:
    Counters counters;
    FlowRouter router;
};

} // namespace bulrushgap::bench
