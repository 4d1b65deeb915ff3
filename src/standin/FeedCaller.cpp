#include "standin/FeedCaller.h"

#include "wire/CoapBuilder.h"

#include <algorithm>

namespace bulrushgap {

namespace internal {

constexpr int stallIntervals = 3;
constexpr auto feedRetryLimit = std::chrono::seconds(4);

TimePoint feedTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace internal

FeedCaller::FeedCaller(boost::asio::io_context &context, const CallerSettings &settings,
                       const CallerServiceSettings &service, Random &random, CallerSummary &summary)
    : settings(settings)
    , service(service)
    , random(random)
    , summary(summary)
    , nextId(static_cast<std::uint16_t>(random()))
    , socket(context, Endpoint{settings.localAddress, 0},
             [this](Endpoint, auto datagram) { this->handle(datagram); })
{
    this->reopen(internal::feedTime());
}

void FeedCaller::reopen(TimePoint now)
{
    Bytes fresh;
    appendBigEndian(fresh, this->random(), 4);
    this->token = Token::from(fresh);
    this->upstream.clear();
    this->open = false;
    this->stalled = false;
    this->retryDelay = this->settings.retransmitDelay;
    this->lastItem = now;
    this->nextSend = now;
}

void FeedCaller::tick(TimePoint now)
{
    const bool late = now - this->lastItem > this->settings.feedInterval * internal::stallIntervals;
    if (this->open && late && !this->stalled) {
        this->stalled = true;
        ++this->summary.stalled;
    }
    if (now >= this->nextSend)
        this->sendObserve(now);
}

void FeedCaller::sendObserve(TimePoint now)
{
    this->lastId = this->nextId++;
    this->socket.send(
        this->service.address,
        coapbuilder::observe({CoapType::Confirmable, this->lastId, this->token}, this->open));
    if (this->open) {
        this->nextSend = now + this->settings.refreshInterval;
        return;
    }
    this->nextSend = now + this->retryDelay;
    this->retryDelay = std::min<Duration>(this->retryDelay * 2, internal::feedRetryLimit);
}

void FeedCaller::close()
{
    this->socket.send(this->service.address, coapbuilder::unobserve({CoapType::NonConfirmable,
                                                                     this->nextId++, this->token}));
    this->open = false;
}

void FeedCaller::handle(std::span<const std::byte> datagram)
{
    const auto message = this->parser.parse(datagram);
    if (!message)
        return;
    if (message->type == CoapType::Reset)
        return this->handleReset(*message);
    if (message->token != this->token || !message->observe)
        return;
    if (message->type == CoapType::Confirmable) {
        this->lastId = message->id;
        this->socket.send(this->service.address, coapbuilder::acknowledgement(message->id));
    }
    this->handleItem(*message);
}

void FeedCaller::handleReset(const CoapMessage &message)
{
    if (message.id != this->lastId)
        return;
    if (this->open) {
        ++this->summary.reset;
        ++this->summary.broken;
    }
    this->reopen(internal::feedTime());
    this->nextSend += this->settings.retransmitDelay;
}

void FeedCaller::handleItem(const CoapMessage &message)
{
    const std::string text(textOf(message.payload));
    const auto split = text.find(' ');
    const auto end = text.find(' ', split == std::string::npos ? split : split + 1);
    ++this->summary.items;
    if (end == std::string::npos || text.substr(split + 1, end - split - 1) != this->service.name) {
        ++this->summary.wrongItems;
        return;
    }
    this->noteUpstream(text.substr(0, split));
    this->lastItem = internal::feedTime();
    this->stalled = false;
    if (!this->open) {
        this->open = true;
        ++this->summary.opened;
        this->nextSend = this->lastItem + this->settings.refreshInterval;
    }
}

void FeedCaller::noteUpstream(const std::string &name)
{
    if (!this->upstream.empty() && this->upstream != name) {
        ++this->summary.moved;
        ++this->summary.broken;
    }
    this->upstream = name;
}

} // namespace bulrushgap
