#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "view/Member.h"

#include <cstddef>
#include <vector>

namespace bulrushgap::balance {

/** \brief Settings of one instance. */
struct BalancerOptions
{
    Member self;
    std::size_t flowCapacity = 0; //!< Maximum number of tracked flows.
    Duration stopDelay{};         //!< Packets are forwarded for this long after a stop begins.
    bool firstStart = false;      //!< Whether the deployment starts for the first time.
    std::vector<Endpoint> seeds;  //!< Peer addresses of instances that are asked at the start.
    bool ejection = false;        //!< Whether new flows avoid upstreams whose requests fail.
    bool learnedCapacity = false; //!< Whether slow upstreams receive fewer flows.
};

} // namespace bulrushgap::balance
