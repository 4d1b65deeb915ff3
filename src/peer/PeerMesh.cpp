#include "peer/PeerMesh.h"

#include <algorithm>

namespace bulrushgap {

namespace internal {

/** Pause after a failed accept, for example when file descriptors are used up. */
constexpr auto acceptPause = std::chrono::milliseconds(100);

boost::asio::ip::tcp::acceptor listenOn(boost::asio::io_context &context, Endpoint endpoint)
{
    const boost::asio::ip::tcp::endpoint address(boost::asio::ip::address_v4(endpoint.address),
                                                 endpoint.port);
    return {context, address, true};
}

TimePoint currentTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace internal

PeerMesh::PeerMesh(boost::asio::io_context &context, PeerMeshSettings settings, Counters &counters,
                   Random &random, PeerMeshHooks hooks)
    : context(context)
    , settings(std::move(settings))
    , counters(counters)
    , random(random)
    , hooks(std::move(hooks))
    , budget(this->settings.bytesPerSecond, this->settings.burst, internal::currentTime())
    , acceptor(internal::listenOn(context, this->settings.listen))
    , acceptTimer(context)
{
    if (this->settings.self.peerAddress.empty())
        this->settings.self.peerAddress = this->address().toString();
    this->accept();
    for (const Endpoint &seed : this->settings.seeds)
        this->addTarget(seed);
}

PeerMesh::~PeerMesh()
{
    this->stop();
}

Endpoint PeerMesh::address() const
{
    const auto local = this->acceptor.local_endpoint();
    return {local.address().to_v4().to_uint(), local.port()};
}

void PeerMesh::stop()
{
    this->stopped = true;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->acceptTimer.cancel();
    for (const auto &[endpoint, dialer] : this->targets)
        dialer->stop();
    for (const auto &link : this->handshakes)
        link->close();
    for (const auto &[name, peer] : this->peers)
        peer.link->close();
    this->targets.clear();
    this->handshakes.clear();
    this->peers.clear();
}

void PeerMesh::accept()
{
    this->acceptor.async_accept(
        [this, watch = std::weak_ptr<int>(this->lifetime)](const boost::system::error_code &error,
                                                           boost::asio::ip::tcp::socket socket) {
            if (watch.expired() || this->stopped)
                return;
            if (error)
                return this->acceptAfterPause();
            if (this->handshakes.size() < this->settings.handshakes)
                this->addLink(std::move(socket), nullptr);
            else
                this->counters.add("peer_too_many_handshakes");
            this->accept();
        });
}

void PeerMesh::acceptAfterPause()
{
    this->counters.add("peer_accept_failed");
    this->acceptTimer.expires_after(internal::acceptPause);
    this->acceptTimer.async_wait(
        [this, watch = std::weak_ptr<int>(this->lifetime)](const boost::system::error_code &) {
            if (!watch.expired() && !this->stopped)
                this->accept();
        });
}

void PeerMesh::addLink(boost::asio::ip::tcp::socket socket,
                       const std::shared_ptr<PeerDialer> &dialer)
{
    const bool dialled = dialer != nullptr;
    PeerLinkHooks linkHooks;
    linkHooks.onHello = [this, dialer](const auto &link, const Hello &hello) {
        return this->handleHello(link, hello, dialer);
    };
    linkHooks.onMessage = [this](std::string_view name, PeerMessage message) {
        this->handleMessage(name, std::move(message));
    };
    linkHooks.onClosed = [this](const auto &link) {
        this->handleClosed(link);
    };
    auto link = std::make_shared<PeerLink>(std::move(socket), dialled, this->settings.link,
                                           this->budget, this->counters, std::move(linkHooks));
    this->handshakes.insert(link);
    link->start(this->settings.self);
}

void PeerMesh::setPeers(std::span<const Endpoint> endpoints)
{
    const auto isWanted = [&](Endpoint target) {
        return std::ranges::find(endpoints, target) != endpoints.end()
               || std::ranges::find(this->settings.seeds, target) != this->settings.seeds.end();
    };
    std::vector<Endpoint> unwanted;
    for (const auto &[endpoint, dialer] : this->targets) {
        if (!isWanted(endpoint))
            unwanted.push_back(endpoint);
    }
    for (const Endpoint &endpoint : unwanted)
        this->removeTarget(endpoint);
    for (const Endpoint &endpoint : endpoints)
        this->addTarget(endpoint);
}

void PeerMesh::addTarget(Endpoint target)
{
    const bool own = target.toString() == this->settings.self.peerAddress;
    if (this->stopped || own || this->targets.contains(target))
        return;
    PeerDialerHooks dialerHooks;
    dialerHooks.isNeeded = [this, target] {
        return !this->isConnected(target);
    };
    dialerHooks.onFailure = [this] {
        this->counters.add("peer_dial_failed");
    };
    dialerHooks.onConnected = [this, target](boost::asio::ip::tcp::socket socket) {
        this->addLink(std::move(socket), this->targets.at(target));
    };
    auto dialer = std::make_shared<PeerDialer>(this->context, target, this->settings, this->random,
                                               std::move(dialerHooks));
    this->targets.emplace(target, dialer);
    dialer->dial();
}

void PeerMesh::removeTarget(Endpoint target)
{
    const auto found = this->targets.find(target);
    found->second->stop();
    this->targets.erase(found);
}

bool PeerMesh::isConnected(Endpoint target) const
{
    const auto dialer = this->targets.find(target);
    if (dialer != this->targets.end() && this->peers.contains(dialer->second->peerName()))
        return true;
    const std::string text = target.toString();
    return std::ranges::any_of(
        this->peers, [&](const auto &entry) { return entry.second.hello.peerAddress == text; });
}

bool PeerMesh::isBlocked(std::string_view name) const
{
    return this->blocked && this->blocked(name);
}

std::string_view PeerMesh::refusalOf(const Hello &hello) const
{
    const Hello &self = this->settings.self;
    if (hello.protocolVersion != self.protocolVersion)
        return "peer_refused_version";
    if (hello.deployment != self.deployment)
        return "peer_refused_deployment";
    if (hello.scope != self.scope)
        return "peer_refused_scope";
    if (hello.instance == self.instance)
        return "peer_refused_own_name";
    if (this->isBlocked(hello.instance))
        return "peer_refused_blocked";
    if (this->hooks.acceptHello && !this->hooks.acceptHello(hello))
        return "peer_refused_domain";
    return {};
}

bool PeerMesh::shouldReplace(const Peer &existing, const PeerLink &link, const Hello &hello) const
{
    // A second connection in the same direction means that the dialling side lost the first one.
    if (existing.hello.bootId != hello.bootId || existing.link->isDialled() == link.isDialled())
        return true;
    return link.isDialled() == (this->settings.self.instance < hello.instance);
}

bool PeerMesh::handleHello(const std::shared_ptr<PeerLink> &link, const Hello &hello,
                           const std::shared_ptr<PeerDialer> &dialer)
{
    const std::string_view refusal = this->refusalOf(hello);
    if (!refusal.empty()) {
        this->counters.add(refusal);
        return false;
    }
    const auto existing = this->peers.find(hello.instance);
    if (existing != this->peers.end()) {
        this->counters.add("peer_duplicate_link");
        if (!this->shouldReplace(existing->second, *link, hello))
            return false;
        this->takeDown(hello.instance);
    }
    this->handshakes.erase(link);
    this->peers.insert_or_assign(hello.instance, Peer{hello, link});
    if (dialer)
        dialer->succeed(hello.instance);
    this->hooks.onPeerUp(hello);
    return true;
}

void PeerMesh::handleMessage(std::string_view name, PeerMessage message)
{
    if (!this->isBlocked(name))
        this->hooks.onMessage(name, std::move(message));
}

void PeerMesh::handleClosed(const std::shared_ptr<PeerLink> &link)
{
    this->handshakes.erase(link);
    const auto found = std::ranges::find_if(
        this->peers, [&](const auto &entry) { return entry.second.link == link; });
    if (found != this->peers.end())
        this->takeDown(std::string(found->first));
    for (const auto &[endpoint, dialer] : this->targets) {
        if (!this->isConnected(endpoint))
            dialer->retry();
    }
}

void PeerMesh::takeDown(std::string_view name)
{
    const auto found = this->peers.find(name);
    found->second.link->close();
    this->peers.erase(found);
    this->hooks.onPeerDown(name);
}

bool PeerMesh::send(std::string_view name, const PeerMessage &message)
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end())
        return false;
    const auto frame = PeerFrame::of(message);
    if (!frame)
        this->counters.add("peer_message_too_large");
    return frame && this->sendFrame(found->second, *frame);
}

std::size_t PeerMesh::broadcast(const PeerMessage &message)
{
    const auto frame = PeerFrame::of(message);
    if (!frame) {
        this->counters.add("peer_message_too_large");
        return 0;
    }
    std::size_t count = 0;
    for (const auto &[name, peer] : this->peers)
        count += this->sendFrame(peer, *frame) ? 1 : 0;
    return count;
}

bool PeerMesh::sendFrame(const Peer &peer, const PeerFrame &frame)
{
    // A blocked peer looks like one behind a network that loses everything.
    return this->isBlocked(peer.hello.instance) || peer.link->send(frame);
}

} // namespace bulrushgap
