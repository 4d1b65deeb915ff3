#pragma once

#include "base/Endpoint.h"

#include <cstdint>
#include <string>

namespace bulrushgap::balance {

/** \brief An instance of the deployment as it has registered itself. */
struct Member
{
    std::string name;
    std::string domain;
    Endpoint peer;
    std::uint32_t capacity = 0; //!< Link rate in Mbit/s; greater ones serve others first.

    friend bool operator==(const Member &, const Member &) = default;
};

} // namespace bulrushgap::balance
