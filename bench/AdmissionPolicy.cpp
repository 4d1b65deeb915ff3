#include "AdmissionPolicy.h"

#include "admission.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iterator>
#include <map>
#include <vector>

namespace bulrushgap {

namespace internal {

constexpr ServiceId benchService{1};

/** \brief Limits and counts of one instance without knowledge of the others. */
class SimplePolicy : public AdmissionPolicy
{
public:
    SimplePolicy(AdmissionWorld &world, bool limited)
        : world(world)
        , limited(limited)
        , nodes(benchInstances)
    {}

    void admit(std::size_t instance, std::uint64_t handle, std::uint8_t /*hops*/) override
    {
        if (!this->trySend(instance, handle))
            this->nodes.at(instance).waiting.push_back(handle);
    }

    void answer(std::size_t instance, std::uint64_t handle, const DispatchId &id,
                std::size_t upstream, AnswerOutcome outcome, const LoadReport & /*report*/) override
    {
        Node &node = this->nodes.at(instance);
        if (node.open.erase(id.sequence) == 0)
            return;
        --node.inFlight.at(upstream);
        if (outcome == AnswerOutcome::Success) {
            node.budget.onSuccess(this->world.now());
            this->world.answered(handle);
        } else {
            this->retry(instance, handle);
        }
        this->pump(instance);
    }

    void tick() override
    {
        for (std::size_t instance = 0; instance < this->nodes.size(); ++instance) {
            Node &node = this->nodes.at(instance);
            std::vector<Open> late;
            for (const auto &[sequence, open] : node.open)
                if (this->world.now() >= this->world.request(open.handle).deadline)
                    late.push_back(open);
            for (const Open &open : late) {
                node.open.erase(open.sequence);
                --node.inFlight.at(open.upstream);
                this->world.refused(open.handle);
            }
            this->pump(instance);
        }
    }

    void heartbeat() override {}

private:
    struct Open
    {
        std::uint32_t sequence = 0;
        std::uint64_t handle = 0;
        std::size_t upstream = 0;
    };

    struct Node
    {
        std::array<int, benchUpstreams> inFlight{};
        std::deque<std::uint64_t> waiting;
        std::map<std::uint32_t, Open> open;
        RetryBudget budget;
    };

    /** \brief The share of 2 slots among 8 instances, at least one. */
    static constexpr int localLimit = 1;
    static constexpr int retriesPerRequest = 2;

    std::size_t draw() { return this->world.generator()() % benchUpstreams; }

    bool trySend(std::size_t instance, std::uint64_t handle)
    {
        Node &node = this->nodes.at(instance);
        std::size_t choice = this->draw();
        if (this->limited) {
            const std::size_t other = this->draw();
            if (node.inFlight.at(other) < node.inFlight.at(choice))
                choice = other;
            if (node.inFlight.at(choice) >= localLimit)
                return false;
        }
        ++node.inFlight.at(choice);
        const DispatchId id{InstanceId{static_cast<std::uint16_t>(instance)}, 0, ++this->sequence};
        node.open.emplace(id.sequence, Open{id.sequence, handle, choice});
        this->world.send(instance, handle, id, choice);
        return true;
    }

    void retry(std::size_t instance, std::uint64_t handle)
    {
        const bool allowed
            = !this->limited || this->nodes.at(instance).budget.trySpend(this->world.now());
        if (allowed && ++this->retries[handle] <= retriesPerRequest)
            this->admit(instance, handle, 0);
        else
            this->world.refused(handle);
    }

    void pump(std::size_t instance)
    {
        Node &node = this->nodes.at(instance);
        while (!node.waiting.empty()) {
            const std::uint64_t handle = node.waiting.front();
            if (this->world.now() >= this->world.request(handle).deadline)
                this->world.refused(handle);
            else if (!this->trySend(instance, handle))
                return;
            node.waiting.pop_front();
        }
    }

    AdmissionWorld &world;
    bool limited;
    std::vector<Node> nodes;
    std::map<std::uint64_t, int> retries;
    std::uint32_t sequence = 0;
};

/** \brief One AdmissionController for each instance. */
class ProductPolicy : public AdmissionPolicy
{
public:
    explicit ProductPolicy(AdmissionWorld &world)
        : world(world)
    {
        AdmissionSettings settings;
        settings.assumeBusyAtStart = false;
        for (const PlanInstance &instance : this->plan.instances) {
            this->nodes.push_back(std::make_unique<AdmissionController>(
                instance.id, 1, KeyedHash(1), settings, world.generator(), this->counters));
            this->nodes.back()->setPlan(this->plan, {}, world.now());
        }
    }

    void admit(std::size_t instance, std::uint64_t handle, std::uint8_t hops) override
    {
        const BenchRequest &request = this->world.request(handle);
        const auto decision = this->nodes.at(instance)->admit(
            {handle, benchService, request.idempotent, request.deadline, hops}, this->world.now());
        if (const auto *dispatch = std::get_if<Dispatch>(&decision))
            this->world.send(instance, handle, dispatch->id, dispatch->upstream.value);
        if (const auto *relay = std::get_if<RelayTo>(&decision))
            this->world.relay(relay->instance.value, handle, static_cast<std::uint8_t>(hops + 1));
        if (std::holds_alternative<Refused>(decision))
            this->world.refused(handle);
    }

    void answer(std::size_t instance, std::uint64_t /*handle*/, const DispatchId &id,
                std::size_t /*upstream*/, AnswerOutcome outcome, const LoadReport &report) override
    {
        this->handle(instance, this->nodes.at(instance)->onAnswer(id, outcome, true, report,
                                                                  this->world.now()));
    }

    void tick() override
    {
        for (std::size_t instance = 0; instance < this->nodes.size(); ++instance)
            this->handle(instance, this->nodes.at(instance)->tick(this->world.now()));
    }

    void heartbeat() override
    {
        this->replan();
        for (std::size_t from = 0; from < this->nodes.size(); ++from)
            for (std::size_t to = 0; to < this->nodes.size(); ++to)
                if (from != to)
                    this->nodes.at(to)->onPeerSlots(InstanceId{static_cast<std::uint16_t>(from)},
                                                    this->nodes.at(from)->freeSlots(),
                                                    this->world.now());
    }

private:
    static Plan initialPlan()
    {
        Plan plan;
        for (std::uint16_t i = 0; i < benchDomains; ++i)
            plan.domains.push_back({DomainId{i}, {}});
        for (std::uint16_t i = 0; i < benchInstances; ++i)
            plan.instances.push_back({InstanceId{i},
                                      {},
                                      DomainId{static_cast<std::uint16_t>(i % benchDomains)},
                                      {},
                                      {},
                                      1});
        plan.services.push_back({benchService, {}, {}, {}});
        for (std::uint16_t i = 0; i < benchUpstreams; ++i)
            plan.services.front().upstreams.push_back(
                {UpstreamId{i},
                 {},
                 {},
                 DomainId{static_cast<std::uint16_t>(i % benchDomains)},
                 fullWeight,
                 benchSlots});
        return plan;
    }

    /** \brief Stands for the planner: reported states are in force with the next heartbeat. */
    void replan()
    {
        std::vector<UpstreamStatus> statuses;
        for (const auto &node : this->nodes)
            std::ranges::copy(node->takeStatusChanges(), std::back_inserter(statuses));
        if (statuses.empty())
            return;
        for (const UpstreamStatus &status : statuses) {
            auto &upstream = this->plan.services.front().upstreams.at(status.upstream.value);
            upstream.weight = status.warmth;
            upstream.state = status.ejected ? UpstreamState::Ejected : UpstreamState::Active;
        }
        for (const auto &node : this->nodes)
            node->setPlan(this->plan, {}, this->world.now());
    }

    void handle(std::size_t instance, const AdmissionController::Events &events)
    {
        for (const AdmissionEvent &event : events) {
            if (const auto *dispatch = std::get_if<Dispatch>(&event))
                this->world.send(instance, dispatch->handle, dispatch->id,
                                 dispatch->upstream.value);
            else if (const auto *answer = std::get_if<AnswerAccepted>(&event))
                this->world.answered(answer->handle);
            else if (const auto *refused = std::get_if<RequestRefused>(&event))
                this->world.refused(refused->handle);
            else if (const auto *relayed = std::get_if<RequestRelayed>(&event))
                this->world.relay(relayed->instance.value, relayed->handle, 1);
        }
    }

    AdmissionWorld &world;
    Plan plan = initialPlan();
    Counters counters;
    std::vector<std::unique_ptr<AdmissionController>> nodes;
};

} // namespace internal

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(PolicyKind kind, AdmissionWorld &world)
{
    if (kind == PolicyKind::Product)
        return std::make_unique<internal::ProductPolicy>(world);
    return std::make_unique<internal::SimplePolicy>(world, kind == PolicyKind::LocalShare);
}

} // namespace bulrushgap
