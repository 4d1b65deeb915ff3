#pragma once

#include "base/Endpoint.h"
#include "base/Ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace bulrushgap {

/** \brief Identity of this process; the id is set once a plan lists this boot of the instance. */
struct InstanceIdentity
{
    std::string deployment;
    std::string scope;
    std::string name;
    std::string domain;
    std::uint64_t bootId = 0;
    Endpoint peerAddress;
    Endpoint dataAddress;
    std::optional<InstanceId> id;
};

} // namespace bulrushgap
