#include "role/ConnectionProber.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace bulrushgap {

namespace internal {

namespace asio = boost::asio;

/** \brief One connection attempt; whichever of connection and timer ends first gives the result. */
struct Probe
{
    explicit Probe(asio::io_context &context)
        : socket(context)
        , timer(context)
    {}

    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    bool done = false;
    bool extended = false;
};

balance::ProbeResult probeResultOf(boost::system::error_code error)
{
    if (!error)
        return balance::ProbeResult::Connected;
    const bool refused
        = error == asio::error::connection_refused || error == asio::error::connection_reset;
    return refused ? balance::ProbeResult::Refused : balance::ProbeResult::TimedOut;
}

/** \brief Calls \a end when the timer is over; waits once more if this process was paused, since
 * the answer may be in the socket already. */
void endAfterTimeout(const std::shared_ptr<Probe> &probe, const std::function<void()> &end)
{
    static constexpr std::chrono::milliseconds pauseTolerance{30};
    probe->timer.async_wait([probe, end](boost::system::error_code error) {
        if (error || probe->done)
            return;
        const auto late = std::chrono::steady_clock::now() - probe->timer.expiry();
        if (late <= pauseTolerance || probe->extended) {
            end();
            return;
        }
        probe->extended = true;
        probe->timer.expires_after(pauseTolerance);
        endAfterTimeout(probe, end);
    });
}

} // namespace internal

void ConnectionProber::probe(Endpoint address, ResultHandler onResult)
{
    const auto probe = std::make_shared<internal::Probe>(this->context);
    const auto finish = [probe, onResult = std::move(onResult)](balance::ProbeResult result) {
        if (std::exchange(probe->done, true))
            return;
        boost::system::error_code ignored;
        probe->timer.cancel();
        probe->socket.close(ignored);
        onResult(result);
    };
    probe->timer.expires_after(this->timeout);
    internal::endAfterTimeout(probe, [finish] { finish(balance::ProbeResult::TimedOut); });
    const boost::asio::ip::tcp::endpoint target(boost::asio::ip::address_v4(address.address),
                                                address.port);
    probe->socket.async_connect(target, [finish](boost::system::error_code error) {
        finish(internal::probeResultOf(error));
    });
}

} // namespace bulrushgap
