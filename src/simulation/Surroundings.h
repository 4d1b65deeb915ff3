#pragma once

#include "base/Scheduler.h"
#include "simulation/EventLoop.h"
#include "simulation/Links.h"
#include "simulation/StoreFaults.h"
#include "simulation/StoreModel.h"
#include "simulation/Transport.h"

namespace bulrushgap::simulation {

/** \brief What instances, upstreams and callers of one run share. */
struct Surroundings
{
    Surroundings(std::uint64_t seed, LinkDelays delays, Duration storeHistory)
        : random(seed)
        , scheduler(this->loop.scheduler())
        , links(delays, this->random)
        , transport(this->loop, this->links)
        , store(this->scheduler, storeHistory)
    {}
    Surroundings(const Surroundings &) = delete;
    Surroundings &operator=(const Surroundings &) = delete;

    EventLoop loop;
    Random random;
    Scheduler scheduler;
    Links links;
    Transport transport;
    StoreModel store;
    StoreFaults storeFaults;
};

} // namespace bulrushgap::simulation
