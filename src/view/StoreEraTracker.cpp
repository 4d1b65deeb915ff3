#include "view/StoreEraTracker.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace bulrushgap::balance {

StoreEraTracker::StoreEraTracker(const Scheduler &scheduler, UpstreamDirectory &directory,
                                 Counters &counters, Log &log, EndHandler onHeldEvacuationsEnded)
    : scheduler(scheduler)
    , directory(directory)
    , counters(counters)
    , log(log)
    , onHeldEvacuationsEnded(std::move(onHeldEvacuationsEnded))
{}

bool StoreEraTracker::onUpdate(ViewKind kind, StoreRevision revision)
{
    auto &known = this->kindEras.at(static_cast<std::size_t>(kind));
    const bool restored = known && *known < revision.era;
    known = revision.era;
    this->onRevision(revision);
    return restored;
}

void StoreEraTracker::onRevision(StoreRevision revision)
{
    if (!this->era)
        this->era = revision.era;
    if (revision.era <= *this->era)
        return;
    const std::uint64_t before = std::exchange(*this->era, revision.era);
    this->counters.add("store_restored");
    this->log.warn("store_restored",
                   {{"before", before}, {"after", revision.era}, {"revision", revision.number}});
    this->directory.registryRecovered(this->scheduler.now());
}

void StoreEraTracker::holdEvacuation(const std::string &domain)
{
    this->heldEvacuations.insert(domain);
    const Duration grace = this->directory.graceEnd() - this->scheduler.now();
    this->heldEvacuationsTimer = this->scheduler.after(std::max(grace, Duration::zero()),
                                                       [this] { this->endHeldEvacuations(); });
}

bool StoreEraTracker::releaseEvacuation(const std::string &domain)
{
    return this->heldEvacuations.erase(domain) > 0;
}

void StoreEraTracker::endHeldEvacuations()
{
    this->onHeldEvacuationsEnded(std::exchange(this->heldEvacuations, {}));
}

} // namespace bulrushgap::balance
