#include "role/ConnectionProber.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace bulrushgap {

namespace internal {

namespace asio = boost::asio;

/** \brief One connection attempt; the result is set by the connection or the timeout, whichever
 * comes first. */
struct Probe
{
    explicit Probe(asio::io_context &context)
        : socket(context)
        , timer(context)
    {}

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    bool finished = false;
    bool extended = false;
};

balance::ProbeResult toProbeResult(boost::system::error_code error)
{
    if (!error)
        return balance::ProbeResult::Connected;
    const bool refused
        = error == asio::error::connection_refused || error == asio::error::connection_reset;
    return refused ? balance::ProbeResult::Refused : balance::ProbeResult::TimedOut;
}

/** \brief Calls \a onTimeout when the timer expires.
 *
 * A timer that fires late means that this process was paused. The result of the connection may then
 * be pending already, so the timeout is extended once.
 */
void awaitTimeout(const std::shared_ptr<Probe> &probe, const std::function<void()> &onTimeout)
{
    static constexpr std::chrono::milliseconds pauseTolerance{30};
    probe->timer.async_wait([probe, onTimeout](boost::system::error_code error) {
        if (error || probe->finished)
            return;
        const auto overdue = std::chrono::steady_clock::now() - probe->timer.expiry();
        if (overdue <= pauseTolerance || probe->extended) {
            onTimeout();
            return;
        }
        probe->extended = true;
        probe->timer.expires_after(pauseTolerance);
        awaitTimeout(probe, onTimeout);
    });
}

} // namespace internal

void ConnectionProber::probe(Endpoint address, ResultHandler onResult)
{
    const auto probe = std::make_shared<internal::Probe>(this->context);
    const auto complete = [probe, onResult = std::move(onResult)](balance::ProbeResult result) {
        if (std::exchange(probe->finished, true))
            return;
        boost::system::error_code ignored;
        probe->timer.cancel();
        probe->socket.close(ignored);
        onResult(result);
    };
    probe->timer.expires_after(this->timeout);
    internal::awaitTimeout(probe, [complete] { complete(balance::ProbeResult::TimedOut); });
    const boost::asio::ip::tcp::endpoint target(boost::asio::ip::address_v4(address.address),
                                                address.port);
    probe->socket.async_connect(target, [complete](boost::system::error_code error) {
        complete(internal::toProbeResult(error));
    });
}

} // namespace bulrushgap
