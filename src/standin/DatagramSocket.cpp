#include "standin/DatagramSocket.h"

#include "service/UdpEndpoint.h"

namespace bulrushgap {

namespace internal {

constexpr int receiveBufferSize = 1 << 20;

Endpoint fromUdp(const boost::asio::ip::udp::endpoint &endpoint)
{
    return {endpoint.address().to_v4().to_uint(), endpoint.port()};
}

} // namespace internal

DatagramSocket::DatagramSocket(boost::asio::io_context &context, Endpoint local, Handler handler)
    : socket(context, toUdp(local))
    , handler(std::move(handler))
{
    boost::system::error_code ignored;
    this->socket.set_option(
        boost::asio::socket_base::receive_buffer_size(internal::receiveBufferSize), ignored);
    this->socket.non_blocking(true);
    this->receive();
}

Endpoint DatagramSocket::local() const
{
    return internal::fromUdp(this->socket.local_endpoint());
}

void DatagramSocket::send(Endpoint to, std::span<const std::byte> datagram)
{
    boost::system::error_code ignored;
    this->socket.send_to(boost::asio::buffer(datagram.data(), datagram.size()), toUdp(to), 0,
                         ignored);
}

void DatagramSocket::receive()
{
    this->socket.async_receive_from(
        boost::asio::buffer(this->input), this->sender,
        [this, watch = std::weak_ptr<int>(this->lifetime)](const boost::system::error_code &error,
                                                           std::size_t size) {
            if (watch.expired() || error == boost::asio::error::operation_aborted)
                return;
            // Other errors report an earlier datagram that could not be delivered.
            if (!error)
                this->handler(internal::fromUdp(this->sender),
                              std::span<const std::byte>(this->input).first(size));
            if (!watch.expired())
                this->receive();
        });
}

} // namespace bulrushgap
