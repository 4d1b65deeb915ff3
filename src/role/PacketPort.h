#pragma once

#include "base/Endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>
#include <functional>
#include <span>
#include <vector>

namespace bulrushgap {

/** \brief UDP socket that reads and writes datagrams in batches, without allocating for each.
 *
 * Each datagram is received behind reserved headroom, so that a prefix can be written in front of
 * it and both sent without a copy.
 */
class PacketPort
{
public:
    /** \param buffer headroom for the prefix, then the datagram; valid until the end of the batch.
     *  \param datagram the part of \a buffer after the headroom.
     */
    using DatagramHandler
        = std::function<void(std::span<std::byte> buffer, std::span<std::byte> datagram)>;
    using BatchHandler = std::function<void()>;

    PacketPort(boost::asio::io_context &context, Endpoint address, std::size_t prefixBytes,
               std::size_t datagramBytes, DatagramHandler onDatagram, BatchHandler onBatchEnd);

    /** \brief Binds the socket; the kernel queues datagrams until startReading() is called. */
    void open();

    /** \param discard whether datagrams received so far are dropped. */
    void startReading(bool discard);
    void stop();

    /** \brief Queues \a bytes, which must stay valid, and sends them at the end of the batch. */
    void send(std::span<const std::byte> bytes, Endpoint to);

    /** \brief Sends \a bytes immediately, without queueing them. */
    void sendNow(std::span<const std::byte> bytes, Endpoint to);

    [[nodiscard]] std::uint64_t sendFailures() const { return this->failedSends; }

private:
    static constexpr std::size_t batchSize = 32;
    static constexpr std::size_t maxBatchesPerWakeup = 8;

    void waitForDatagrams();
    void readBatches();
    std::size_t readBatch();
    void discardReceived();
    void sendQueued();

    boost::asio::ip::udp::socket socket;
    Endpoint address;
    std::size_t prefixBytes;
    std::size_t receiveBufferBytes;
    DatagramHandler onDatagram;
    BatchHandler onBatchEnd;
    std::vector<std::byte> receiveBuffers;
    std::array<mmsghdr, batchSize> receiveHeaders{};
    std::array<iovec, batchSize> receiveVectors{};
    std::array<mmsghdr, batchSize> sendHeaders{};
    std::array<iovec, batchSize> sendVectors{};
    std::array<sockaddr_in, batchSize> sendAddresses{};
    std::size_t sendQueueLength = 0;
    std::uint64_t failedSends = 0;
};

} // namespace bulrushgap
