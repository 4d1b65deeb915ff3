#pragma once

#include "flow.h"

#include <span>
#include <string>
#include <string_view>

namespace bulrushgap::bench {

/** \brief A benchmark; takes the arguments behind its name and returns the exit code. */
struct Bench
{
    std::string_view name;
    std::string_view summary;
    int (*run)(std::span<const std::string> arguments);
};

int runBuckets(std::span<const std::string> arguments);
int runFlow(std::span<const std::string> arguments);
int runFlowCost(std::span<const std::string> arguments);
int runSlopes(std::span<const std::string> arguments);

/** \returns a plan with one service (id 1) and one failure domain. */
Plan makePlan(std::uint16_t instances, std::uint16_t upstreams);

} // namespace bulrushgap::bench
