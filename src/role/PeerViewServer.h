#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"
#include "ejection/OutcomeSharing.h"
#include "view/ObjectMirror.h"
#include "view/ViewCodec.h"

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>

#include <chrono>
#include <cstddef>
#include <memory>

namespace bulrushgap {

struct PeerViewLimits
{
    std::size_t maxConnections = 400; //!< One per instance that reads its view from this one.
    std::size_t maxQueuedBytes
        = 8UL * 1024 * 1024; //!< Output queue at which a slow reader is disconnected.
    std::chrono::milliseconds idleTimeout{
        40'000}; //!< Time without a request; watches wait up to 30 s.
};

namespace internal {
struct PeerViewServerState;
}

/** \brief Serves an ObjectMirror to other instances with FlatBuffers messages over TCP, and
 * exchanges outcomes of requests with them. */
class PeerViewServer
{
public:
    /** \param outcomes null to refuse the exchange of outcomes */
    PeerViewServer(boost::asio::io_context &context, Endpoint endpoint,
                   balance::ObjectMirror &mirror, Counters &counters, PeerViewLimits limits = {},
                   balance::OutcomeSharing *outcomes = nullptr);
    ~PeerViewServer();
    PeerViewServer(const PeerViewServer &) = delete;
    PeerViewServer &operator=(const PeerViewServer &) = delete;

    /** \brief Starts accepting connections.
     *  \returns the bound endpoint, or a boost::system::error_code
     */
    [[nodiscard]] boost::leaf::result<Endpoint> start();

private:
    std::shared_ptr<internal::PeerViewServerState> state;
};

} // namespace bulrushgap
