#pragma once

#include "base/Endpoint.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <span>
#include <vector>

namespace bulrushgap {

/** \brief Calls \a handler once with those of \a addresses that accept a TCP connection in time. */
void checkConnections(boost::asio::io_context &context, std::span<const Endpoint> addresses,
                      std::chrono::milliseconds timeout,
                      std::function<void(std::vector<Endpoint> accepting)> handler);

} // namespace bulrushgap
