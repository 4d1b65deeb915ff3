#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"
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
    std::size_t connections = 400;               //!< Each instance that follows this one holds one.
    std::size_t queuedBytes = 8UL * 1024 * 1024; //!< A reader that is slower than that is dropped.
    std::chrono::milliseconds idle{40'000};      //!< Without a request; the longest wait is 30 s.
};

namespace internal {
struct PeerViewServerState;
}

/** \brief Serves an ObjectMirror to other instances, FlatBuffers over TCP. */
class PeerViewServer
{
public:
    PeerViewServer(boost::asio::io_context &context, Endpoint endpoint,
                   balance::ObjectMirror &mirror, Counters &counters, PeerViewLimits limits = {});
    ~PeerViewServer();
    PeerViewServer(const PeerViewServer &) = delete;
    PeerViewServer &operator=(const PeerViewServer &) = delete;

    /** \brief Starts to accept. \returns the endpoint in use, or a boost::system::error_code. */
    [[nodiscard]] boost::leaf::result<Endpoint> start();

private:
    std::shared_ptr<internal::PeerViewServerState> state;
};

} // namespace bulrushgap
