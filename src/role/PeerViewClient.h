#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"
#include "view/ObjectSource.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>

namespace bulrushgap {

struct PeerViewTimeouts
{
    std::chrono::milliseconds connect{250};
    std::chrono::milliseconds silence{700};     //!< Without a byte while a list is awaited.
    std::chrono::milliseconds watchMargin{300}; //!< Silence after its wait ends a watch.
};

namespace internal {
struct PeerViewConnection;
}

/** \brief Reads another instance's view over one connection, FlatBuffers over TCP.
 *
 * A connection that fails or falls silent fails all calls that wait on it; the next call opens a
 * new one. Counts its calls as "peer_list" and "peer_watch".
 */
class PeerViewClient : public balance::ObjectSource
{
public:
    PeerViewClient(boost::asio::io_context &context, Endpoint peer, Counters &counters,
                   PeerViewTimeouts timeouts = {});
    ~PeerViewClient() override;

    void list(balance::ViewKind kind, ListHandler handler) override;
    void watchFor(balance::ViewKind kind, std::uint64_t since, std::chrono::milliseconds wait,
                  WatchHandler handler) override;
    void dropWatches() override;

private:
    internal::PeerViewConnection &connection();

    boost::asio::io_context &context;
    Endpoint peer;
    Counters &counters;
    PeerViewTimeouts timeouts;
    std::shared_ptr<internal::PeerViewConnection> current;
};

} // namespace bulrushgap
