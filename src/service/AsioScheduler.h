#pragma once

#include "base/Scheduler.h"

#include <boost/asio/io_context.hpp>

namespace bulrushgap {

/** \returns the steady clock and timers of \a context, which must outlive it. */
[[nodiscard]] Scheduler asioScheduler(boost::asio::io_context &context);

} // namespace bulrushgap
