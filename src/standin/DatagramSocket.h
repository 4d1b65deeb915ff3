#pragma once

#include "base/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>

namespace bulrushgap {

/** \brief UDP socket that passes each received datagram to a handler. */
class DatagramSocket
{
public:
    using Handler = std::function<void(Endpoint from, std::span<const std::byte> datagram)>;

    /** \param local port 0 picks a free port.
     * \throws boost::system::system_error if the address cannot be bound.
     */
    DatagramSocket(boost::asio::io_context &context, Endpoint local, Handler handler);

    [[nodiscard]] Endpoint local() const;

    /** \brief Sends a datagram; like any datagram it may be lost. */
    void send(Endpoint to, std::span<const std::byte> datagram);

private:
    void receive();

    boost::asio::ip::udp::socket socket;
    Handler handler;
    boost::asio::ip::udp::endpoint sender;
    std::array<std::byte, 2048> input{};
    std::shared_ptr<int> lifetime = std::make_shared<int>(0); //!< Watched by receive handlers.
};

} // namespace bulrushgap
