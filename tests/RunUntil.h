#pragma once

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>

/** \brief Runs \a context until \a condition holds.
 * \returns whether it held within \a limit
 */
inline bool runUntil(boost::asio::io_context &context, const std::function<bool()> &condition,
                     std::chrono::milliseconds limit = std::chrono::seconds(10))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        context.run_one_for(std::chrono::milliseconds(10));
        context.restart();
    }
    return true;
}
