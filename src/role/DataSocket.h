#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace bulrushgap {

/** \brief UDP socket of the data path.
 *
 * Sending never blocks: a datagram that the kernel does not take is dropped and counted as
 * `data_send_dropped`.
 */
class DataSocket
{
public:
    using OnDatagram = std::function<void(std::span<const std::byte> datagram)>;

    /** \throws boost::system::system_error if the address cannot be bound. */
    DataSocket(boost::asio::io_context &context, Endpoint address, Counters &counters,
               OnDatagram onDatagram);

    void send(Endpoint receiver, std::span<const std::byte> datagram);

private:
    void waitForDatagrams();
    void receiveDatagrams();

    boost::asio::ip::udp::socket socket;
    Counters &counters;
    OnDatagram onDatagram;
    std::vector<std::byte> buffer;
};

} // namespace bulrushgap
