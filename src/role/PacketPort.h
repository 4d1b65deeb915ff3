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
 * Room is kept before each datagram that is read, so that it can be sent on with a prefix in place.
 */
class PacketPort
{
public:
    /** \param space the room for the prefix and the datagram after it; valid during the call. */
    using DatagramHandler
        = std::function<void(std::span<std::byte> space, std::span<std::byte> datagram)>;
    using BatchHandler = std::function<void()>;

    PacketPort(boost::asio::io_context &context, Endpoint address, std::size_t prefixBytes,
               std::size_t datagramBytes, DatagramHandler onDatagram, BatchHandler onBatchEnd);

    /** \brief Binds the socket; datagrams wait in it until reading starts. */
    void open();

    /** \param discard drops what has come in so far. */
    void startReading(bool discard);
    void stop();

    /** \brief Queues \a bytes until the end of the batch; they must stay valid until then. */
    void send(std::span<const std::byte> bytes, Endpoint to);

    /** \brief Copies and sends \a bytes at once. */
    void sendNow(std::span<const std::byte> bytes, Endpoint to);

    [[nodiscard]] std::uint64_t sendFailures() const { return this->failures; }

private:
    static constexpr std::size_t batchSize = 32;

    static constexpr std::size_t batchesPerTurn = 8;

    void wait();
    void readBatches();
    std::size_t readBatch();
    void discardReceived();
    void sendQueued();

    boost::asio::ip::udp::socket socket;
    Endpoint address;
    std::size_t prefixBytes;
    std::size_t spaceBytes;
    DatagramHandler onDatagram;
    BatchHandler onBatchEnd;
    std::vector<std::byte> spaces;
    std::array<mmsghdr, batchSize> received{};
    std::array<iovec, batchSize> receivedParts{};
    std::array<mmsghdr, batchSize> queued{};
    std::array<iovec, batchSize> queuedParts{};
    std::array<sockaddr_in, batchSize> queuedAddresses{};
    std::size_t queueLength = 0;
    std::uint64_t failures = 0;
};

} // namespace bulrushgap
