#pragma once

#include "base/Counters.h"
#include "base/Endpoint.h"
#include "base/Time.h"
#include "message/PeerMessage.h"
#include "peer/ByteBudget.h"
#include "peer/PeerDialer.h"
#include "peer/PeerLink.h"
#include "peer/PeerMeshSettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace bulrushgap {

/** \brief Connections to all peers: listens, dials, and keeps one connection per peer.
 *
 * Of two connections to one peer, the one that the lower name dialled is kept.
 */
class PeerMesh
{
public:
    using Blocked = std::function<bool(std::string_view name)>;

    /** \brief Starts to listen and to dial the seeds.
     * \throws boost::system::system_error if the address cannot be listened on.
     */
    PeerMesh(boost::asio::io_context &context, PeerMeshSettings settings, Counters &counters,
             Random &random, PeerMeshHooks hooks);
    ~PeerMesh();
    PeerMesh(const PeerMesh &) = delete;
    PeerMesh &operator=(const PeerMesh &) = delete;

    /** \returns the address that is listened on. */
    [[nodiscard]] Endpoint address() const;

    /** \brief Sets the endpoints to dial in addition to the seeds. */
    void setPeers(std::span<const Endpoint> endpoints);

    /** \returns false if there is no such peer, its queue is full, or the message too large. */
    bool send(std::string_view name, const PeerMessage &message);

    /** \returns the number of peers that the message is queued for. */
    std::size_t broadcast(const PeerMessage &message);

    [[nodiscard]] bool isUp(std::string_view name) const { return this->peers.contains(name); }

    /** \brief Drops messages from and to the peers that \a blocked selects; for tests. */
    void setBlocked(Blocked blocked) { this->blocked = std::move(blocked); }

    /** \brief Closes everything; no hook is called afterwards. */
    void stop();

private:
    struct Peer
    {
        Hello hello;
        std::shared_ptr<PeerLink> link;
    };

    void accept();
    void acceptAfterPause();
    void addLink(boost::asio::ip::tcp::socket socket, const std::shared_ptr<PeerDialer> &dialer);
    void addTarget(Endpoint target);
    void removeTarget(Endpoint target);
    [[nodiscard]] bool isConnected(Endpoint target) const;
    [[nodiscard]] bool isBlocked(std::string_view name) const;
    [[nodiscard]] std::string_view refusalOf(const Hello &hello) const;
    bool handleHello(const std::shared_ptr<PeerLink> &link, const Hello &hello,
                     const std::shared_ptr<PeerDialer> &dialer);
    [[nodiscard]] bool shouldReplace(const Peer &existing, const PeerLink &link,
                                     const Hello &hello) const;
    void handleMessage(std::string_view name, PeerMessage message);
    void handleClosed(const std::shared_ptr<PeerLink> &link);
    void takeDown(std::string_view name);
    bool sendFrame(const Peer &peer, const PeerFrame &frame);

    boost::asio::io_context &context;
    PeerMeshSettings settings;
    Counters &counters;
    Random &random;
    PeerMeshHooks hooks;
    Blocked blocked;
    ByteBudget budget;
    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::steady_timer acceptTimer;
    std::set<std::shared_ptr<PeerLink>> handshakes;
    std::map<std::string, Peer, std::less<>> peers;
    std::map<Endpoint, std::shared_ptr<PeerDialer>> targets;
    std::shared_ptr<int> lifetime = std::make_shared<int>(0); //!< Watched by accept handlers.
    bool stopped = false;
};

} // namespace bulrushgap
