#pragma once

#include "standin/PlatformStandin.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <utility>

namespace bulrushgap {

/** \brief Timeout of waiting for a condition. */
constexpr std::chrono::seconds waitLimit{20};

/** \brief Runs \a context until \a done returns true. \returns false after waitLimit. */
inline bool runUntil(boost::asio::io_context &context, const std::function<bool()> &done)
{
    const auto deadline = std::chrono::steady_clock::now() + waitLimit;
    while (!done()) {
        context.restart();
        context.run_one_until(
            std::min(deadline, std::chrono::steady_clock::now() + std::chrono::milliseconds(20)));
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
    }
    return true;
}

/** \brief Calls \a start with a handler, waits for its call and returns the received value. */
template <typename Outcome, typename Start>
Outcome await(boost::asio::io_context &context, Start start)
{
    auto outcome = std::make_shared<std::optional<Outcome>>();
    start([outcome](Outcome received) { *outcome = std::move(received); });
    REQUIRE(runUntil(context, [&] { return outcome->has_value(); }));
    return std::move(**outcome);
}

template <typename Server>
Endpoint startServer(Server &server)
{
    auto endpoint = server.start();
    REQUIRE(endpoint);
    return *endpoint;
}

/** \brief Settings of a stand-in on a free loopback port. */
inline PlatformStandinSettings standinSettings()
{
    PlatformStandinSettings settings;
    settings.listen = Endpoint{0x7f000001, 0};
    return settings;
}

} // namespace bulrushgap
