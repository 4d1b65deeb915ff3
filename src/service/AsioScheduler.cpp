#include "service/AsioScheduler.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <utility>

namespace bulrushgap {

Scheduler asioScheduler(boost::asio::io_context &context)
{
    return {[] { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); },
            [&context](Duration delay, Scheduler::Handler handler) -> Scheduler::Timer {
                const auto timer = std::make_shared<boost::asio::steady_timer>(context, delay);
                // Destroying the timer completes its wait with operation_aborted.
                timer->async_wait([handler = std::move(handler)](boost::system::error_code error) {
                    if (!error)
                        handler();
                });
                return timer;
            }};
}

} // namespace bulrushgap
