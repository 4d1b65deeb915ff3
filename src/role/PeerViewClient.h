#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"
#include "ejection/OutcomeReport.h"
#include "view/ObjectSource.h"
#include "view/ViewSource.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>

namespace bulrushgap {

struct PeerViewTimeouts
{
    std::chrono::milliseconds connect{250};
    /** Without received bytes while a list is pending or a reply is incomplete. */
    std::chrono::milliseconds idleTimeout{700};

    /** Time past its wait after which a watch fails, unless a reply is arriving. */
    std::chrono::milliseconds watchMargin{300};
};

/** \brief What is required of the other instance. */
struct PeerReadOptions
{
    /** \returns the options for a source of the view. */
    [[nodiscard]] static PeerReadOptions of(const balance::ViewSource &source);

    bool direct = false;                   //!< It must read from the store itself.
    std::chrono::milliseconds listWait{0}; //!< Longest time that it may take to read its view.
};

namespace internal {
struct PeerViewConnection;
}

/** \brief Reads another instance's view over one TCP connection with FlatBuffers messages.
 *
 * If the connection fails or a call times out, all pending calls fail, and the next call opens a
 * new connection. While a reply goes on arriving no call times out, since replies follow each other
 * on the connection.
 *
 * Calls are counted as "peer_list", "peer_watch" and "peer_outcome", and failures in the middle of
 * a reply as "peer_reply_broken_off".
 */
class PeerViewClient : public balance::ObjectSource, public balance::OutcomeSource
{
public:
    PeerViewClient(boost::asio::io_context &context, Endpoint peer, Counters &counters,
                   PeerReadOptions options = {}, PeerViewTimeouts timeouts = {});
    ~PeerViewClient() override;

    void list(balance::ViewKind kind, ListHandler handler) override;
    void watchFor(balance::ViewKind kind, StoreRevision since, std::chrono::milliseconds wait,
                  WatchHandler handler) override;
    void dropWatches() override;
    [[nodiscard]] std::optional<TimePoint> lastArrival() const override;
    void exchange(const balance::OutcomeRequest &request,
                  balance::OutcomeSource::Handler handler) override;

private:
    internal::PeerViewConnection &connection();

    boost::asio::io_context &context;
    Endpoint peer;
    Counters &counters;
    PeerReadOptions options;
    PeerViewTimeouts timeouts;
    std::shared_ptr<internal::PeerViewConnection> activeConnection;
};

} // namespace bulrushgap
