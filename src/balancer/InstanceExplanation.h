#pragma once

#include "base/Time.h"
#include "steering/FlowExplanation.h"

#include <string>
#include <string_view>

namespace bulrushgap::balance {

/** \brief What an instance would do with a new flow. */
struct InstanceExplanation
{
    std::string instance;
    std::string domain;
    std::string_view notReadyReason; //!< Empty while the fabric may send packets to it.
    Duration viewAge{};
    FlowExplanation flow;
};

} // namespace bulrushgap::balance
