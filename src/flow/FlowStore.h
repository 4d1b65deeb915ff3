#pragma once

#include "base/Counters.h"
#include "base/KeyedHash.h"
#include "flow/BucketTable.h"
#include "flow/FlowTable.h"
#include "flow/UpstreamGates.h"

#include <bitset>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace bulrushgap {

/** \brief Placement state of one service on one instance. */
struct ServiceState
{
    ServiceId id;
    std::shared_ptr<const BucketTable> base; //!< Of the plan in force; null for a new service.
    std::shared_ptr<const BucketTable> next; //!< Of the newest adopted plan; null if removed.
    UpstreamGates gates;                     //!< Of the newest adopted plan.
    FlowTable flows;

    /** \returns the table that tells exceptions from ordinary flows. */
    [[nodiscard]] const BucketTable &table() const
    {
        return this->base != nullptr ? *this->base : *this->next;
    }
    [[nodiscard]] bool isTarget(UpstreamId upstream) const
    {
        return upstream != noUpstream && this->gates[upstream] == UpstreamGate::Target;
    }
    [[nodiscard]] UpstreamId baseUpstream(std::uint16_t bucket) const
    {
        return this->base != nullptr ? (*this->base)[bucket] : noUpstream;
    }
    [[nodiscard]] UpstreamId nextUpstream(std::uint16_t bucket) const
    {
        return this->next != nullptr ? (*this->next)[bucket] : noUpstream;
    }
    [[nodiscard]] bool isMoved(std::uint16_t bucket) const
    {
        return this->base != this->next && this->baseUpstream(bucket) != this->nextUpstream(bucket);
    }
};

/** \brief Capacity and ages of an instance's flows. */
struct FlowStoreOptions
{
    std::size_t capacity = 400'000; //!< Flows of all services together.
    Duration idleTimeout = std::chrono::seconds(600);
    FlowIdleLimits idleLimits; //!< In units of idleTimeout / idleLimits.ordinary.
};

/** \brief The flows of one instance and the bucket tables of the plans before and after. */
class FlowStore
{
public:
    FlowStore(const FlowStoreOptions &options, const KeyedHash &hash, Counters &counters)
        : options(options)
        , hash(hash)
        , counters(counters)
        , ageUnit(options.idleTimeout / options.idleLimits.ordinary)
    {}

    /** \brief Sets the tables of the next plan and the gates. */
    void setNext(const Plan &plan);

    /** \brief Makes the next plan's tables the base; services without one are removed. */
    void promote();

    /** \returns the state of the service, or nullptr. */
    [[nodiscard]] ServiceState *find(ServiceId id)
    {
        return id.value < this->services.size() ? this->services[id.value].get() : nullptr;
    }

    /** \brief Records a flow; evicts another one when the capacity is used up. */
    void insert(ServiceState &service, std::uint64_t flowHash, UpstreamId upstream);

    /** \brief Records flows that a peer knows.
     * \param replace whether the peer's upstream wins over a recorded exception.
     * \returns the number of flows that were recorded with another upstream.
     */
    std::size_t merge(std::span<const ServiceFlows> flows, bool replace);

    /** \returns whether a record is in a bucket that the next plan does not move here. */
    [[nodiscard]] bool hasUnmoved(std::span<const ServiceFlows> flows) const;

    bool erase(ServiceState &service, std::uint64_t flowHash);

    /** \returns the groups that contain moved buckets. */
    [[nodiscard]] std::bitset<bucketGroupCount> movedGroups() const;

    /** \returns exceptions of the next plan in \a groups; with \a movedOnly, in moved buckets. */
    [[nodiscard]] std::vector<ServiceFlows> exceptions(const std::bitset<bucketGroupCount> &groups,
                                                       bool movedOnly) const;

    /** \returns at most \a limit exceptions of the plan in force, for a snapshot. */
    [[nodiscard]] std::vector<ServiceFlows> baseExceptions(std::size_t limit) const;

    /** \brief Advances the coarse clock that stamps flows. */
    void advance(TimePoint time)
    {
        if (time >= this->ageEnd || time < this->ageEnd - this->ageUnit)
            this->setAge(time);
    }

    /** \brief Removes idle flows; a bounded share of all flows for each call. */
    void tick(TimePoint now);

    [[nodiscard]] FlowAge age() const { return this->now; }
    [[nodiscard]] std::size_t size() const { return this->flowCount; }
    [[nodiscard]] std::size_t bytes() const;

    void visitServices(const std::function<void(const ServiceState &)> &visit) const;

private:
    /** \brief Forgets the flows of upstreams that are gone or out.
     *
     * Every instance forgets them with the plan, so that all place a flow that goes on anew by the
     * same table. A record that only some instances forget would come back into force when the
     * failure domain returns, and the flow would move to and fro. */
    void forgetLost(ServiceState &state);
    void setAge(TimePoint time);
    [[nodiscard]] std::shared_ptr<const BucketTable> tableFor(const PlanService &service,
                                                              const Plan &plan) const;

    FlowStoreOptions options;
    KeyedHash hash;
    Counters &counters;
    std::vector<std::unique_ptr<ServiceState>> services; //!< Index: service id.
    std::vector<PlanService> tableServices;              //!< Inputs of the tables in `next`.
    std::vector<PlanDomain> tableDomains;
    std::size_t flowCount = 0;
    Duration ageUnit;
    TimePoint ageEnd{};
    FlowAge now = 0;
    TimePoint lastSweep{};
    bool started = false;
};

} // namespace bulrushgap
