#pragma once

#include "base/Endpoint.h"

#include <boost/asio/ip/udp.hpp>

namespace bulrushgap {

/** \returns \a endpoint as an endpoint of Boost.Asio. */
[[nodiscard]] inline boost::asio::ip::udp::endpoint toUdp(Endpoint endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace bulrushgap
