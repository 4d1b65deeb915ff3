#pragma once

#include "base/KeyedHash.h"
#include "plan/Planner.h"

#include <cstdint>
#include <span>
#include <string_view>

namespace bulrushgap {

/** \returns the live instance that acts as planner of the scope, or nullptr.
 *
 * This is the instance with the lowest rendezvous hash among those that are not leaving. The
 * election only avoids redundant work; if several instances consider themselves elected, the
 * conditional update of the plan object decides.
 */
[[nodiscard]] const LiveInstance *electPlanner(std::span<const LiveInstance> instances,
                                               std::string_view scope, const KeyedHash &hash);

/** \returns whether the instance \a self is elected. */
[[nodiscard]] bool isPlanner(std::string_view self, std::span<const LiveInstance> instances,
                             std::string_view scope, const KeyedHash &hash);

/** \returns the writer id that an instance puts into its plans. */
[[nodiscard]] std::uint64_t planWriterId(std::string_view instance, std::uint64_t bootId,
                                         const KeyedHash &hash);

} // namespace bulrushgap
