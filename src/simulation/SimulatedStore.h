#pragma once

#include "base/Counters.h"
#include "simulation/RemoteCall.h"
#include "view/ObjectSource.h"

#include <memory>
#include <string>

namespace bulrushgap::simulation {

/** \brief The store as one instance reaches it, with its faults and the client's timeouts. */
class SimulatedStore : public balance::ObjectSource, public balance::MemberStore
{
public:
    SimulatedStore(Surroundings &surroundings, Place client, Post post, Counters &counters);

    void list(ViewKind kind, ListHandler handler) override;
    void watchFor(ViewKind kind, StoreRevision since, std::chrono::milliseconds wait,
                  WatchHandler handler) override;
    void dropWatches() override
    {
        this->watchesAlive = std::make_shared<bool>(true);
        this->arrivals = std::make_shared<AnswerArrivals>();
    }
    [[nodiscard]] std::optional<TimePoint> lastArrival() const override;

    void createMember(const balance::Member &member, WriteHandler handler) override;
    void replaceMember(const balance::Member &member, WriteHandler handler) override;
    void removeMember(std::string_view name, StoreRevision revision, WriteHandler handler) override;

private:
    /** \returns what the store answers without serving the call, or Ok. */
    [[nodiscard]] PlatformResult refusal() const;
    [[nodiscard]] bool isSilent() const;
    [[nodiscard]] Duration serviceTime() const;
    void write(WriteHandler handler, std::function<PlatformResult()> apply);

    Surroundings &surroundings;
    CallEnds ends;
    Counters &counters;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    std::shared_ptr<bool> watchesAlive = std::make_shared<bool>(true);
    std::shared_ptr<AnswerArrivals> arrivals = std::make_shared<AnswerArrivals>();
};

} // namespace bulrushgap::simulation
