#pragma once

#include "base/Endpoint.h"

#include <boost/asio/ip/udp.hpp>

namespace bulrushgap {

/** \returns the endpoint in the form that UDP sockets take. */
[[nodiscard]] inline boost::asio::ip::udp::endpoint toUdp(Endpoint endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace bulrushgap
