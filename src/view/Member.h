#pragma once

#include "base/Endpoint.h"

#include <cstdint>
#include <string>

namespace bulrushgap::balance {

/** \brief Store entry with which an instance registers itself. */
struct Member
{
    std::string name;
    std::string domain;
    Endpoint peer;
    std::uint32_t capacity = 0; //!< Link rate in Mbit/s; higher rates are preferred as sources.

    friend bool operator==(const Member &, const Member &) = default;
};

} // namespace bulrushgap::balance
