#pragma once

#include "flow.h"
#include "message.h"

#include <map>
#include <memory>

namespace bulrushgap::test {

using namespace std::chrono_literals;

inline PlanInstance makeInstance(std::uint16_t id)
{
    return {InstanceId{id}, std::to_string(id), {}, {}, {}, 1, false};
}

/** \returns a plan with one service (id 1), upstreams 1 to \a upstreams, domains 1 to 3. */
inline Plan makePlan(std::uint64_t version, std::initializer_list<std::uint16_t> instances,
                     std::uint16_t upstreams)
{
    Plan plan;
    plan.id.storeVersion = version;
    for (std::uint16_t i = 1; i <= 3; ++i)
        plan.domains.push_back({DomainId{i}, "domain" + std::to_string(i), false});
    for (const std::uint16_t i : instances)
        plan.instances.push_back(makeInstance(i));
    PlanService &service = plan.services.emplace_back();
    service.id = ServiceId{1};
    for (std::uint16_t i = 1; i <= upstreams; ++i) {
        PlanUpstream &upstream = service.upstreams.emplace_back();
        upstream.id = UpstreamId{i};
        upstream.domain = DomainId{static_cast<std::uint16_t>(1 + i % 3)};
    }
    return plan;
}

/** \brief Flow routers of several instances in virtual time.
 *
 * Links deliver in order after random delays.
 */
class FlowCluster
{
public:
    struct Instance
    {
        Counters counters;
        std::unique_ptr<FlowRouter> router;
        std::vector<InFlightCount> received; //!< Released counts of the plan in force.
        bool alive = true;
    };

    explicit FlowCluster(std::uint64_t seed, const FlowRouterOptions &options = {})
        : options(options)
        , random(seed)
    {}

    Instance &add(std::uint16_t id)
    {
        Instance &instance = this->instances[InstanceId{id}];
        TransitionHooks hooks;
        hooks.releaseAdmission = [id](const Plan &) {
            return std::vector{InFlightCount{ServiceId{1}, UpstreamId{id}, id}};
        };
        hooks.onInForce = [&instance](const Plan &, std::span<const InFlightCount> counts) {
            instance.received.assign(counts.begin(), counts.end());
        };
        instance.router = std::make_unique<FlowRouter>(
            InstanceId{id}, 1, this->options, KeyedHash(7), instance.counters, std::move(hooks));
        return instance;
    }

    Instance &operator[](std::uint16_t id) { return this->instances.at(InstanceId{id}); }

    /** \brief Schedules \a action if the instance is alive then, and sends its messages. */
    void at(TimePoint time, InstanceId id,
            std::function<void(FlowRouter &, TimePoint, FlowRouter::Outbox &)> action)
    {
        this->events.emplace(time, [this, id, action = std::move(action)] {
            Instance &instance = this->instances.at(id);
            FlowRouter::Outbox out;
            if (instance.alive)
                action(*instance.router, this->now, out);
            for (OutboundMessage &message : out)
                this->send(id, std::move(message));
        });
    }

    void at(TimePoint time, std::function<void()> action)
    {
        this->events.emplace(time, std::move(action));
    }

    void push(const Plan &plan, Duration slowest = 20ms)
    {
        for (const auto &[id, instance] : this->instances)
            this->at(this->now + this->delay(slowest), id,
                     [plan](FlowRouter &router, TimePoint time, FlowRouter::Outbox &out) {
                         router.onPlan(plan, time, out);
                     });
    }

    void join(std::uint16_t id, std::uint16_t source)
    {
        this->add(id);
        this->at(this->now, InstanceId{source},
                 [this, id](FlowRouter &router, TimePoint, FlowRouter::Outbox &) {
                     if (const auto snapshot = router.snapshot())
                         this->at(this->now + this->delay(5ms), InstanceId{id},
                                  [snapshot](FlowRouter &target, TimePoint time,
                                             FlowRouter::Outbox &out) {
                                      target.loadSnapshot(*snapshot, time, out);
                                  });
                 });
    }

    /** \brief Crashes the instance; the others detect it about 1 s later.
     *
     * Each link still delivers the messages sent before the crash up to a random time.
     */
    void crash(std::uint16_t id)
    {
        (*this)[id].alive = false;
        for (const auto &[other, instance] : this->instances)
            this->cuts[{InstanceId{id}, other}] = this->now + this->delay(20ms);
        for (const auto &[other, instance] : this->instances)
            this->at(this->now + 900ms + this->delay(200ms), other,
                     [id](FlowRouter &router, TimePoint time, FlowRouter::Outbox &out) {
                         router.onInstanceDead(InstanceId{id}, time, out);
                     });
    }

    void run(Duration duration)
    {
        const TimePoint end = this->now + duration;
        while (this->now < end) {
            const TimePoint next = std::min(end, this->nextTick);
            while (!this->events.empty() && this->events.begin()->first <= next) {
                const auto event = this->events.extract(this->events.begin());
                this->now = std::max(this->now, event.key());
                event.mapped()();
            }
            this->now = next;
            if (next == this->nextTick)
                this->tick();
        }
    }

    /** \brief Sends a packet of the flow to a random live instance. */
    void packet(std::uint64_t flowHash)
    {
        std::vector<InstanceId> live;
        for (const auto &[id, instance] : this->instances)
            if (instance.alive)
                live.push_back(id);
        this->arrive(live.at(this->random() % live.size()), flowHash, 0);
    }

    [[nodiscard]] std::uint64_t total(std::string_view counter) const
    {
        std::uint64_t sum = 0;
        for (const auto &[id, instance] : this->instances)
            sum += instance.counters.value(counter);
        return sum;
    }

    Duration delay(Duration slowest)
    {
        return Duration(100 + static_cast<Duration::rep>(this->random() % slowest.count()));
    }

    FlowRouterOptions options;
    Random random;
    TimePoint now = TimePoint(std::chrono::hours(1));
    std::map<InstanceId, Instance> instances;
    std::function<void(InstanceId instance, std::uint64_t flowHash, UpstreamId upstream)> onPlaced;
    std::optional<InstanceId> crashAfterUnion; //!< Crashes when its first union is delivered.
    std::size_t lost = 0;                      //!< Packets dropped at the hop limit or not placed.

private:
    void arrive(InstanceId id, std::uint64_t flowHash, int hops)
    {
        Instance &instance = this->instances.at(id);
        if (!instance.alive)
            return;
        const auto decision = instance.router->route(ServiceId{1}, flowHash, this->now, hops > 0);
        const auto *relay = std::get_if<ToArbiter>(&decision);
        if (const auto *upstream = std::get_if<ToUpstream>(&decision))
            this->onPlaced(id, flowHash, upstream->upstream);
        else if (relay != nullptr && hops < maximalRelayHops)
            this->at(this->now + this->delay(2ms), [this, to = relay->instance, flowHash, hops] {
                this->arrive(to, flowHash, hops + 1);
            });
        else
            ++this->lost;
    }

    void send(InstanceId from, OutboundMessage message)
    {
        TimePoint &last = this->lastDelivery[{from, message.to}];
        const auto slow = this->random() % 20 == 0 ? 150ms : 10ms;
        last = std::max(last, this->now + this->delay(slow));
        if (!this->instances.contains(message.to))
            return;
        const auto deliverable = [this, from, to = message.to] {
            const auto cut = this->cuts.find({from, to});
            return cut == this->cuts.end() || this->now < cut->second;
        };
        this->at(last, message.to,
                 [this, from, deliverable, message = std::move(message.message)](
                     FlowRouter &router, TimePoint time, FlowRouter::Outbox &out) {
                     if (!deliverable())
                         return;
                     if (std::holds_alternative<Union>(message) && this->crashAfterUnion == from)
                         this->crash(std::exchange(this->crashAfterUnion, {})->value);
                     if (const auto *digest = std::get_if<Digest>(&message))
                         router.onDigest(from, *digest, time, out);
                     else if (const auto *prepared = std::get_if<Prepared>(&message))
                         router.onPrepared(from, *prepared, time, out);
                     else if (const auto *unionMessage = std::get_if<Union>(&message))
                         router.onUnion(from, *unionMessage, time, out);
                     else if (const auto *inForce = std::get_if<InForce>(&message))
                         router.onInForce(from, *inForce, time, out);
                 });
    }

    void tick()
    {
        for (const auto &[id, instance] : this->instances)
            this->at(this->now, id,
                     [](FlowRouter &router, TimePoint time, FlowRouter::Outbox &out) {
                         router.tick(time, out);
                     });
        this->nextTick += 50ms;
    }

    std::multimap<TimePoint, std::function<void()>> events;
    std::map<std::pair<InstanceId, InstanceId>, TimePoint> lastDelivery;
    std::map<std::pair<InstanceId, InstanceId>, TimePoint> cuts;
    TimePoint nextTick = this->now;
};

} // namespace bulrushgap::test
