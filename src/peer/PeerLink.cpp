#include "peer/PeerLink.h"

#include "peer/MessageCodec.h"

#include <boost/asio/write.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <string>

namespace bulrushgap {

namespace internal {

TimePoint now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

PeerPriority priorityOf(const PeerMessage &message)
{
    if (std::holds_alternative<Hello>(message) || std::holds_alternative<Heartbeat>(message))
        return PeerPriority::Liveness;
    const bool high
        = std::holds_alternative<PlanPush>(message) || std::holds_alternative<PlanRequest>(message);
    return high ? PeerPriority::High : PeerPriority::Normal;
}

std::string counterName(std::string_view prefix, std::string_view type)
{
    return std::string(prefix).append(type);
}

} // namespace internal

std::optional<PeerFrame> PeerFrame::of(const PeerMessage &message)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<PeerFrame>> {
            BOOST_LEAF_AUTO(bytes, MessageCodec::encode(message));
            return PeerFrame{FrameReader::encodeFrame(bytes), MessageCodec::typeName(message),
                             internal::priorityOf(message)};
        },
        [] { return std::optional<PeerFrame>(); });
}

PeerLink::PeerLink(boost::asio::ip::tcp::socket socket, bool dialled,
                   const PeerLinkSettings &settings, ByteBudget &budget, Counters &counters,
                   PeerLinkHooks hooks)
    : socket(std::move(socket))
    , silenceTimer(this->socket.get_executor())
    , budgetTimer(this->socket.get_executor())
    , dialled(dialled)
    , settings(settings)
    , budget(budget)
    , counters(counters)
    , hooks(std::move(hooks))
    , lastReceived(internal::now())
{}

PeerLink::~PeerLink()
{
    this->close();
}

void PeerLink::start(const Hello &hello)
{
    boost::system::error_code ignored;
    this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    this->watchSilence();
    this->read();
    auto frame = PeerFrame::of(hello);
    if (frame)
        this->send(std::move(*frame));
}

bool PeerLink::send(PeerFrame frame)
{
    if (this->closed)
        return false;
    const auto priority = static_cast<std::size_t>(frame.priority);
    if (this->queuedBytes.at(priority) + frame.bytes.size() > this->settings.queueLimit) {
        this->counters.add("peer_queue_full");
        return false;
    }
    this->queuedBytes.at(priority) += frame.bytes.size();
    this->queues.at(priority).push_back(std::move(frame));
    this->pump();
    return true;
}

void PeerLink::close()
{
    this->closed = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->silenceTimer.cancel();
    this->budgetTimer.cancel();
}

void PeerLink::fail()
{
    if (this->closed)
        return;
    this->close();
    this->hooks.onClosed(this->shared_from_this());
}

void PeerLink::read()
{
    this->socket.async_read_some(boost::asio::buffer(this->input),
                                 [self = this->shared_from_this()](
                                     const boost::system::error_code &error, std::size_t size) {
                                     if (self->closed)
                                         return;
                                     if (error)
                                         return self->fail();
                                     self->handleBytes(size);
                                     if (!self->closed)
                                         self->read();
                                 });
}

void PeerLink::handleBytes(std::size_t size)
{
    this->lastReceived = internal::now();
    this->reader.append(std::span<const std::byte>(this->input).first(size));
    while (!this->closed) {
        const auto frame = this->reader.next();
        if (!frame)
            break;
        this->handleFrame(*frame);
    }
    if (!this->closed && this->reader.isLimitExceeded()) {
        this->counters.add("peer_oversized_frame");
        this->fail();
    }
}

void PeerLink::handleFrame(const Bytes &frame)
{
    std::optional<PeerMessage> message;
    const bool usable = boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_ASSIGN(message, MessageCodec::decode(frame));
            return true;
        },
        [&](MessageError error) {
            const bool unsupported = error == MessageError::Unsupported;
            this->counters.add(unsupported ? "peer_unsupported_message" : "peer_malformed_message");
            return unsupported;
        },
        [] { return false; });
    if (!usable)
        return this->fail();
    if (message)
        this->handleMessage(std::move(*message), frame.size() + FrameReader::lengthPrefixSize);
}

void PeerLink::handleMessage(PeerMessage message, std::size_t size)
{
    this->counters.add(
        internal::counterName("peer_received_bytes_", MessageCodec::typeName(message)), size);
    const auto *hello = std::get_if<Hello>(&message);
    if ((hello != nullptr) == this->greeted) {
        this->counters.add("peer_unexpected_hello");
        return this->fail();
    }
    if (hello == nullptr)
        return this->hooks.onMessage(this->peer, std::move(message));
    this->greeted = true;
    this->peer = hello->instance;
    if (!this->hooks.onHello(this->shared_from_this(), *hello))
        this->fail();
}

void PeerLink::watchSilence()
{
    const Duration limit = this->greeted ? this->settings.idleLimit : this->settings.handshakeLimit;
    this->silenceTimer.expires_at(this->lastReceived + limit);
    this->silenceTimer.async_wait(
        [self = this->shared_from_this(), limit](const boost::system::error_code &error) {
            if (error || self->closed)
                return;
            if (internal::now() < self->lastReceived + limit)
                return self->watchSilence();
            self->counters.add("peer_silent_link");
            self->fail();
        });
}

void PeerLink::pump()
{
    if (this->closed || !this->current.bytes.empty())
        return;
    const auto found
        = std::ranges::find_if(this->queues, [](const Queue &queue) { return !queue.empty(); });
    if (found == this->queues.end())
        return;
    const auto priority = static_cast<PeerPriority>(found - this->queues.begin());
    const std::size_t size = found->front().bytes.size();
    const std::size_t reserve
        = priority == PeerPriority::Normal ? this->settings.priorityReserve : 0;
    if (priority == PeerPriority::Liveness)
        this->budget.charge(internal::now(), size);
    else if (!this->budget.take(internal::now(), size, reserve))
        return this->defer(found->front(), reserve);
    this->deferred = false;
    this->current = std::move(found->front());
    found->pop_front();
    this->queuedBytes.at(static_cast<std::size_t>(priority)) -= size;
    this->write();
}

void PeerLink::defer(const PeerFrame &frame, std::size_t reserve)
{
    const std::size_t size = frame.bytes.size();
    if (!this->deferred)
        this->counters.add("peer_deferred_bytes", size);
    this->deferred = true;
    this->budgetTimer.expires_after(this->budget.delay(internal::now(), size, reserve));
    this->budgetTimer.async_wait(
        [self = this->shared_from_this()](const boost::system::error_code &error) {
            if (!error)
                self->pump();
        });
}

void PeerLink::write()
{
    boost::asio::async_write(
        this->socket, boost::asio::buffer(this->current.bytes),
        [self = this->shared_from_this()](const boost::system::error_code &error,
                                          std::size_t size) {
            if (self->closed)
                return;
            if (error)
                return self->fail();
            self->counters.add(internal::counterName("peer_sent_bytes_", self->current.type), size);
            self->current.bytes.clear();
            self->pump();
        });
}

} // namespace bulrushgap
