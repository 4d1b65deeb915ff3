#include "peer/PeerDialer.h"

#include <algorithm>

namespace bulrushgap {

namespace internal {

/** Shift at which the delay limit is reached from any sensible first delay. */
constexpr unsigned maximalShift = 16;

boost::asio::ip::tcp::endpoint toTcp(const Endpoint &endpoint)
{
    return {boost::asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace internal

PeerDialer::PeerDialer(boost::asio::io_context &context, Endpoint target,
                       const PeerMeshSettings &settings, Random &random, PeerDialerHooks hooks)
    : target(target)
    , settings(settings)
    , random(random)
    , hooks(std::move(hooks))
    , socket(context)
    , timer(context)
{}

void PeerDialer::dial()
{
    if (this->busy || this->stopped || !this->hooks.isNeeded())
        return;
    this->busy = true;
    this->connect();
}

void PeerDialer::retry()
{
    if (this->busy || this->stopped)
        return;
    this->busy = true;
    this->timer.expires_after(this->nextDelay());
    this->timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code &error) {
            if (error || self->stopped)
                return;
            self->busy = false;
            self->dial();
        });
}

void PeerDialer::stop()
{
    this->stopped = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
}

void PeerDialer::connect()
{
    this->timer.expires_after(this->settings.connectLimit);
    this->timer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code &error) {
            boost::system::error_code ignored;
            if (!error)
                self->socket.close(ignored);
        });
    this->socket.async_connect(
        internal::toTcp(this->target),
        [self = this->shared_from_this()](const boost::system::error_code &error) {
            self->finish(error);
        });
}

void PeerDialer::finish(const boost::system::error_code &error)
{
    if (this->stopped)
        return;
    this->timer.cancel();
    this->busy = false;
    boost::asio::ip::tcp::socket connected(std::move(this->socket));
    this->socket = boost::asio::ip::tcp::socket(connected.get_executor());
    if (error || !connected.is_open()) {
        this->hooks.onFailure();
        this->retry();
        return;
    }
    this->hooks.onConnected(std::move(connected));
}

Duration PeerDialer::nextDelay()
{
    const auto base = this->settings.dialDelay.count();
    const unsigned shift = std::min(this->failures++, internal::maximalShift);
    const auto full = std::min(base << shift, this->settings.dialDelayLimit.count());
    // Half of the delay is random, so that instances that lost a peer together do not dial
    // together.
    std::uniform_int_distribution<Duration::rep> jitter(full / 2, full);
    return Duration(jitter(this->random));
}

} // namespace bulrushgap
