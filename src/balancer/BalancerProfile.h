#pragma once

#include "base/Time.h"
#include "view/Member.h"

#include <cstddef>

namespace bulrushgap::balance {

/** \brief What an instance is told of itself. */
struct BalancerProfile
{
    Member self;
    std::size_t flowCapacity = 0; //!< Flows tracked at most.
    Duration stopDelay{};         //!< Packets are passed on for this long after a stop begins.
    bool firstStart = false;      //!< The whole deployment starts for the first time.
};

} // namespace bulrushgap::balance
