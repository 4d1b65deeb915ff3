#include "role/DataSocket.h"

#include "service/UdpEndpoint.h"

#include <boost/asio/buffer.hpp>

#include <utility>

namespace bulrushgap {

namespace internal {

constexpr std::size_t maxDatagramBytes = 65'536;
/** \brief Datagrams read before the event loop handles other events. */
constexpr int maxDatagramsPerWakeup = 64;
/** \brief Absorbs bursts from the fabric while timers and peer messages are handled. */
constexpr int receiveBufferBytes = 4 * 1024 * 1024;

} // namespace internal

DataSocket::DataSocket(boost::asio::io_context &context, Endpoint address, Counters &counters,
                       OnDatagram onDatagram)
    : socket(context, toUdp(address))
    , counters(counters)
    , onDatagram(std::move(onDatagram))
    , buffer(internal::maxDatagramBytes)
{
    this->socket.non_blocking(true);
    boost::system::error_code ignored;
    this->socket.set_option(
        boost::asio::socket_base::receive_buffer_size(internal::receiveBufferBytes), ignored);
    this->waitForDatagrams();
}

void DataSocket::waitForDatagrams()
{
    this->socket.async_wait(boost::asio::ip::udp::socket::wait_read,
                            [this](boost::system::error_code error) {
                                if (error)
                                    return;
                                this->receiveDatagrams();
                                this->waitForDatagrams();
                            });
}

void DataSocket::receiveDatagrams()
{
    for (int i = 0; i < internal::maxDatagramsPerWakeup; ++i) {
        boost::system::error_code error;
        boost::asio::ip::udp::endpoint sender;
        const auto size
            = this->socket.receive_from(boost::asio::buffer(this->buffer), sender, 0, error);
        if (error == boost::asio::error::would_block)
            return;
        // The kernel reports an ICMP error that an earlier datagram caused.
        if (error) {
            this->counters.add("data_receive_error");
            continue;
        }
        this->onDatagram(std::span(this->buffer).first(size));
    }
}

void DataSocket::send(Endpoint receiver, std::span<const std::byte> datagram)
{
    boost::system::error_code error;
    this->socket.send_to(boost::asio::buffer(datagram.data(), datagram.size()), toUdp(receiver), 0,
                         error);
    if (error)
        this->counters.add("data_send_dropped");
}

} // namespace bulrushgap
