#include "role/PacketPort.h"

#include "service/UdpEndpoint.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

namespace internal {

sockaddr_in socketAddress(Endpoint endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    address.sin_addr.s_addr = htonl(endpoint.address);
    return address;
}

} // namespace internal

PacketPort::PacketPort(boost::asio::io_context &context, Endpoint address, std::size_t prefixBytes,
                       std::size_t datagramBytes, DatagramHandler onDatagram,
                       BatchHandler onBatchEnd)
    : socket(context)
    , address(address)
    , prefixBytes(prefixBytes)
    , receiveBufferBytes(prefixBytes + datagramBytes)
    , onDatagram(std::move(onDatagram))
    , onBatchEnd(std::move(onBatchEnd))
    , receiveBuffers(batchSize * this->receiveBufferBytes)
{
    for (std::size_t i = 0; i < batchSize; ++i) {
        std::byte *datagram
            = this->receiveBuffers.data() + i * this->receiveBufferBytes + prefixBytes;
        this->receiveVectors.at(i) = iovec{datagram, datagramBytes};
        this->receiveHeaders.at(i).msg_hdr.msg_iov = &this->receiveVectors.at(i);
        this->receiveHeaders.at(i).msg_hdr.msg_iovlen = 1;
        this->sendHeaders.at(i).msg_hdr.msg_iov = &this->sendVectors.at(i);
        this->sendHeaders.at(i).msg_hdr.msg_iovlen = 1;
        this->sendHeaders.at(i).msg_hdr.msg_name = &this->sendAddresses.at(i);
        this->sendHeaders.at(i).msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

void PacketPort::open()
{
    this->socket.open(boost::asio::ip::udp::v4());
    this->socket.bind(toUdp(this->address));
    this->socket.non_blocking(true);
}

void PacketPort::startReading(bool discard)
{
    if (discard)
        this->discardReceived();
    this->waitForDatagrams();
}

void PacketPort::discardReceived()
{
    while (::recvmmsg(this->socket.native_handle(), this->receiveHeaders.data(), batchSize,
                      MSG_DONTWAIT, nullptr)
           > 0) {
    }
}

void PacketPort::stop()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void PacketPort::waitForDatagrams()
{
    this->socket.async_wait(boost::asio::ip::udp::socket::wait_read,
                            [this](boost::system::error_code error) {
                                if (error)
                                    return;
                                this->readBatches();
                                this->onBatchEnd();
                                if (this->socket.is_open())
                                    this->waitForDatagrams();
                            });
}

void PacketPort::readBatches()
{
    // The limit keeps a flood of datagrams from starving timers and other sockets.
    for (std::size_t batch = 0; batch < maxBatchesPerWakeup; ++batch) {
        if (this->readBatch() < batchSize)
            return;
    }
}

std::size_t PacketPort::readBatch()
{
    const int count = ::recvmmsg(this->socket.native_handle(), this->receiveHeaders.data(),
                                 batchSize, MSG_DONTWAIT, nullptr);
    if (count <= 0)
        return 0;
    const auto total = static_cast<std::size_t>(count);
    for (std::size_t i = 0; i < total; ++i) {
        std::byte *buffer = this->receiveBuffers.data() + i * this->receiveBufferBytes;
        const std::size_t bytes = this->receiveHeaders.at(i).msg_len;
        this->onDatagram({buffer, this->prefixBytes + bytes}, {buffer + this->prefixBytes, bytes});
    }
    this->sendQueued();
    return total;
}

void PacketPort::send(std::span<const std::byte> bytes, Endpoint to)
{
    if (this->sendQueueLength == batchSize)
        this->sendQueued();
    const std::size_t position = this->sendQueueLength++;
    this->sendVectors.at(position)
        = iovec{const_cast<std::byte *>(bytes.data()), bytes.size()}; // NOLINT
    this->sendAddresses.at(position) = internal::socketAddress(to);
}

void PacketPort::sendQueued()
{
    std::size_t sent = 0;
    while (sent < this->sendQueueLength) {
        const int count
            = ::sendmmsg(this->socket.native_handle(), this->sendHeaders.data() + sent,
                         static_cast<unsigned>(this->sendQueueLength - sent), MSG_DONTWAIT);
        if (count <= 0) {
            // The first datagram cannot be sent. It is dropped, like one that the network loses.
            ++this->failedSends;
            ++sent;
            continue;
        }
        sent += static_cast<std::size_t>(count);
    }
    this->sendQueueLength = 0;
}

void PacketPort::sendNow(std::span<const std::byte> bytes, Endpoint to)
{
    boost::system::error_code error;
    this->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toUdp(to), 0, error);
    if (error)
        ++this->failedSends;
}

} // namespace bulrushgap
