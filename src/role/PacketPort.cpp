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
    , spaceBytes(prefixBytes + datagramBytes)
    , onDatagram(std::move(onDatagram))
    , onBatchEnd(std::move(onBatchEnd))
    , spaces(batchSize * this->spaceBytes)
{
    for (std::size_t i = 0; i < batchSize; ++i) {
        std::byte *datagram = this->spaces.data() + i * this->spaceBytes + prefixBytes;
        this->receivedParts.at(i) = iovec{datagram, datagramBytes};
        this->received.at(i).msg_hdr.msg_iov = &this->receivedParts.at(i);
        this->received.at(i).msg_hdr.msg_iovlen = 1;
        this->queued.at(i).msg_hdr.msg_iov = &this->queuedParts.at(i);
        this->queued.at(i).msg_hdr.msg_iovlen = 1;
        this->queued.at(i).msg_hdr.msg_name = &this->queuedAddresses.at(i);
        this->queued.at(i).msg_hdr.msg_namelen = sizeof(sockaddr_in);
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
    this->wait();
}

void PacketPort::discardReceived()
{
    while (::recvmmsg(this->socket.native_handle(), this->received.data(), batchSize, MSG_DONTWAIT,
                      nullptr)
           > 0) {
    }
}

void PacketPort::stop()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

void PacketPort::wait()
{
    this->socket.async_wait(boost::asio::ip::udp::socket::wait_read,
                            [this](boost::system::error_code error) {
                                if (error)
                                    return;
                                this->readBatches();
                                this->onBatchEnd();
                                if (this->socket.is_open())
                                    this->wait();
                            });
}

void PacketPort::readBatches()
{
    // Timers and other sockets get their turn, however many datagrams come.
    for (std::size_t batch = 0; batch < batchesPerTurn; ++batch) {
        if (this->readBatch() < batchSize)
            return;
    }
}

std::size_t PacketPort::readBatch()
{
    const int count = ::recvmmsg(this->socket.native_handle(), this->received.data(), batchSize,
                                 MSG_DONTWAIT, nullptr);
    if (count <= 0)
        return 0;
    const auto total = static_cast<std::size_t>(count);
    for (std::size_t i = 0; i < total; ++i) {
        std::byte *space = this->spaces.data() + i * this->spaceBytes;
        const std::size_t bytes = this->received.at(i).msg_len;
        this->onDatagram({space, this->prefixBytes + bytes}, {space + this->prefixBytes, bytes});
    }
    this->sendQueued();
    return total;
}

void PacketPort::send(std::span<const std::byte> bytes, Endpoint to)
{
    if (this->queueLength == batchSize)
        this->sendQueued();
    const std::size_t position = this->queueLength++;
    this->queuedParts.at(position)
        = iovec{const_cast<std::byte *>(bytes.data()), bytes.size()}; // NOLINT
    this->queuedAddresses.at(position) = internal::socketAddress(to);
}

void PacketPort::sendQueued()
{
    std::size_t sent = 0;
    while (sent < this->queueLength) {
        const int count = ::sendmmsg(this->socket.native_handle(), this->queued.data() + sent,
                                     static_cast<unsigned>(this->queueLength - sent), MSG_DONTWAIT);
        if (count <= 0) {
            // The first one can't be sent: it is lost, as on the wire.
            ++this->failures;
            ++sent;
            continue;
        }
        sent += static_cast<std::size_t>(count);
    }
    this->queueLength = 0;
}

void PacketPort::sendNow(std::span<const std::byte> bytes, Endpoint to)
{
    boost::system::error_code error;
    this->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()), toUdp(to), 0, error);
    if (error)
        ++this->failures;
}

} // namespace bulrushgap
