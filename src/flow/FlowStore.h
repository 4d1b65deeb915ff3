#pragma once

#include "base/Counters.h"
#include "base/KeyedHash.h"
#include "flow/BucketTable.h"
#include "flow/FlowTable.h"
#include "flow/UpstreamAvailabilityTable.h"

#include <bitset>
#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace bulrushgap {

/** \brief Bucket tables and flows of one service on one instance. */
struct ServiceState
{
    ServiceId id;
    std::shared_ptr<const BucketTable> base; //!< Plan in force; null for a new service.
    std::shared_ptr<const BucketTable> next; //!< Newest adopted plan; null if removed.
    UpstreamAvailabilityTable availability;  //!< Of the newest adopted plan.
    FlowTable flows;

    /** \returns the table against which flows are classified as ordinary or exceptions. */
    [[nodiscard]] const BucketTable &table() const
    {
        return this->base != nullptr ? *this->base : *this->next;
    }
    [[nodiscard]] bool isUsable(UpstreamId upstream) const
    {
        return upstream != noUpstream
               && this->availability[upstream] == UpstreamAvailability::Usable;
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

/** \brief Capacity and idle timeouts of the flow store. */
struct FlowStoreOptions
{
    std::size_t capacity = 400'000; //!< Flows of all services together.
    Duration idleTimeout = std::chrono::seconds(600);
    FlowIdleLimits idleLimits; //!< In units of idleTimeout / idleLimits.ordinary.
};

/** \brief Flows of one instance, and bucket tables of the plan in force and of the next plan. */
class FlowStore
{
public:
    FlowStore(const FlowStoreOptions &options, const KeyedHash &hash, Counters &counters)
        : options(options)
        , hash(hash)
        , counters(counters)
        , coarseUnit(options.idleTimeout / options.idleLimits.ordinary)
    {}

    /** \brief Sets the bucket tables and the upstream availability of the next plan. */
    void setNext(const Plan &plan);

    /** \brief Puts the tables of the next plan in force; services without a table are removed. */
    void promote();

    /** \returns the state of the service, or nullptr. */
    [[nodiscard]] ServiceState *find(ServiceId id)
    {
        return id.value < this->services.size() ? this->services[id.value].get() : nullptr;
    }

    /** \brief Records a flow; evicts another one if the store is full. */
    void insert(ServiceState &service, std::uint64_t flowHash, UpstreamId upstream);

    /** \brief Merges flow records received from a peer.
     * \param replace whether the upstream of the peer overrides a locally recorded exception
     * \returns the number of flows that were already recorded with another upstream
     */
    std::size_t merge(std::span<const ServiceFlows> flows, bool replace);

    /** \returns whether any record is in a bucket that the next plan leaves on its upstream. */
    [[nodiscard]] bool hasFlowsInUnmovedBuckets(std::span<const ServiceFlows> flows) const;

    bool erase(ServiceState &service, std::uint64_t flowHash);

    /** \returns the bucket groups that contain moved buckets. */
    [[nodiscard]] std::bitset<bucketGroupCount> movedGroups() const;

    /** \returns exceptions of the next plan in \a groups; with \a movedOnly, in moved buckets
     * only. */
    [[nodiscard]] std::vector<ServiceFlows> exceptions(const std::bitset<bucketGroupCount> &groups,
                                                       bool movedOnly) const;

    /** \returns at most \a limit exceptions of the plan in force, for a snapshot. */
    [[nodiscard]] std::vector<ServiceFlows> baseExceptions(std::size_t limit) const;

    /** \brief Advances the coarse clock that timestamps flows. */
    void advanceClock(TimePoint time)
    {
        if (time >= this->coarseTimeEnd || time < this->coarseTimeEnd - this->coarseUnit)
            this->setCoarseTime(time);
    }

    /** \brief Removes idle flows; each call visits a bounded share of all flows. */
    void tick(TimePoint now);

    [[nodiscard]] CoarseTime coarseNow() const { return this->coarseTime; }
    [[nodiscard]] std::size_t size() const { return this->flowCount; }
    [[nodiscard]] std::size_t bytes() const;

    void visitServices(const std::function<void(const ServiceState &)> &visit) const;

private:
    /** \brief Erases the flows of upstreams that were removed or whose failure domain is out.
     *
     * Every instance erases them when it adopts the plan, so that all instances place further
     * packets of such a flow by the same table. A record that only some instances erased would
     * apply again once the failure domain returns, and the flow would alternate between two
     * upstreams. */
    void eraseUnusable(ServiceState &state);
    void setCoarseTime(TimePoint time);
    [[nodiscard]] std::shared_ptr<const BucketTable> tableFor(const PlanService &service,
                                                              const Plan &plan) const;

    FlowStoreOptions options;
    KeyedHash hash;
    Counters &counters;
    std::vector<std::unique_ptr<ServiceState>> services; //!< Indexed by service id.
    std::vector<PlanService> tableServices;              //!< Inputs of the `next` tables.
    std::vector<PlanDomain> tableDomains;
    std::size_t flowCount = 0;
    Duration coarseUnit;
    TimePoint coarseTimeEnd{};
    CoarseTime coarseTime = 0;
    TimePoint lastSweep{};
    bool started = false;
};

} // namespace bulrushgap
