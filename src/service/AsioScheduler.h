#pragma once

#include "base/Scheduler.h"

#include <boost/asio/io_context.hpp>

namespace bulrushgap {

/** \returns a scheduler with the steady clock and timers on \a context, which must outlive it. */
[[nodiscard]] Scheduler asioScheduler(boost::asio::io_context &context);

} // namespace bulrushgap
