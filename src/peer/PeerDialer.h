#pragma once

#include "base/Endpoint.h"
#include "base/Time.h"
#include "peer/PeerMeshSettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bulrushgap {

struct PeerDialerHooks
{
    std::function<bool()> isNeeded; //!< Whether there is no connection to the target.
    std::function<void(boost::asio::ip::tcp::socket)> onConnected;
    std::function<void()> onFailure;
};

/** \brief Connects to one endpoint, with exponential back-off and jitter between attempts. */
class PeerDialer : public std::enable_shared_from_this<PeerDialer>
{
public:
    PeerDialer(boost::asio::io_context &context, Endpoint target, const PeerMeshSettings &settings,
               Random &random, PeerDialerHooks hooks);

    /** \brief Connects now unless an attempt is under way or planned. */
    void dial();

    /** \brief Plans the next attempt unless one is under way or planned. */
    void retry();

    /** \brief Resets the back-off after a handshake with the peer \a name. */
    void succeed(std::string_view name)
    {
        this->failures = 0;
        this->name = name;
    }

    /** \returns the name of the peer that answered last; empty before. */
    [[nodiscard]] const std::string &peerName() const { return this->name; }

    /** \brief Ends all attempts for good; no hook is called afterwards. */
    void stop();

private:
    void connect();
    void finish(const boost::system::error_code &error);
    [[nodiscard]] Duration nextDelay();

    Endpoint target;
    const PeerMeshSettings &settings;
    Random &random;
    PeerDialerHooks hooks;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string name;
    unsigned failures = 0;
    bool busy = false;
    bool stopped = false;
};

} // namespace bulrushgap
