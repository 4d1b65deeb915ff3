#pragma once

#include "admin/AdminConnection.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace bulrushgap {

struct WaitOptions
{
    std::chrono::seconds timeout{30};
    std::optional<std::uint64_t> version; //!< Store version to wait for; default: the newest.
};

/** \brief Waits until the newest configuration is in force on every live instance.
 *
 * Prints who is behind and why when the time is over. \returns the exit code.
 */
int waitForConfiguration(AdminConnection &connection, const WaitOptions &options);

} // namespace bulrushgap
