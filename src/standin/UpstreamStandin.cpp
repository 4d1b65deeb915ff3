#include "standin/UpstreamStandin.h"

#include "wire/CoapCodec.h"
#include "wire/ProxyHeader.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace bulrushgap {

namespace internal {

constexpr std::size_t recentLimit = 4096;
/** One in this many notifications is confirmable, so that callers acknowledge it. */
constexpr std::uint32_t confirmableEvery = 4;

TimePoint upstreamTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace internal

UpstreamStandin::UpstreamStandin(boost::asio::io_context &context, UpstreamSettings settings,
                                 Endpoint returnAddress, RunRecord &runs)
    : context(context)
    , settings(std::move(settings))
    , returnAddress(returnAddress)
    , runs(runs)
    , remainingCold(this->settings.coldRequests)
    , feedTimer(context)
    , socket(context, this->settings.address,
             [this](Endpoint, auto datagram) { this->handle(datagram); })
{
    this->sendFeeds();
}

void UpstreamStandin::setFaults(const UpstreamFaults &faults)
{
    this->hangs = faults.hang.value_or(this->hangs);
    this->drains = faults.drain.value_or(this->drains);
    if (faults.cold)
        this->remainingCold = *faults.cold ? std::max(this->settings.coldRequests, 1U) : 0;
    if (faults.silentFlows) {
        for (auto &[caller, flow] : this->flows)
            flow.silent = *faults.silentFlows;
    }
}

void UpstreamStandin::handle(std::span<const std::byte> datagram)
{
    if (this->hangs || internal::upstreamTime() < this->collapsedUntil)
        return;
    const auto proxied = ProxyHeader::decode(datagram);
    const auto message = proxied ? this->parser.parse(proxied->payload) : std::nullopt;
    if (!message)
        return this->counters.add("malformed");
    if (proxied->header.destination != this->settings.serviceAddress)
        return this->counters.add("wrongService");
    this->handleMessage(proxied->header.source, *message);
}

void UpstreamStandin::handleMessage(Endpoint caller, const CoapMessage &message)
{
    if (message.isEmpty())
        return this->handleFlowReply(caller, message);
    if (!message.isRequest())
        return this->counters.add("malformed");
    if (message.cancel)
        return this->cancel(message.token);
    if (message.code == coapcode::get && message.observe == 0U)
        return this->openFlow(caller, message);
    if (message.code == coapcode::get && message.observe == 1U) {
        this->counters.add("flowPackets");
        this->flows.erase(caller);
        return;
    }
    this->handleRequest(caller, message);
}

void UpstreamStandin::handleFlowReply(Endpoint caller, const CoapMessage &message)
{
    this->counters.add("flowPackets");
    if (!this->flows.contains(caller))
        this->counters.add("unknownFlowPackets");
    if (message.type == CoapType::Reset)
        this->flows.erase(caller);
}

void UpstreamStandin::openFlow(Endpoint caller, const CoapMessage &message)
{
    this->counters.add("flowPackets");
    const auto reply = coapbuilder::replyTo(message, this->nextId++);
    const bool known = this->flows.contains(caller);
    if (!known && message.refresh)
        this->counters.add("unknownFlowPackets");
    if (!known && (this->drains || this->flows.size() >= this->settings.connections))
        return this->shed(caller, reply);
    Flow &flow = this->flows[caller];
    flow.token = message.token;
    this->notify(caller, flow, reply);
}

void UpstreamStandin::handleRequest(Endpoint caller, const CoapMessage &message)
{
    const auto known = this->recent.find(message.token);
    if (known != this->recent.end()) {
        for (const Bytes &each : known->second.messages)
            this->send(known->second.caller, each);
        return;
    }
    Job job;
    job.caller = caller;
    job.reply = coapbuilder::replyTo(message, this->nextId++);
    job.booking = message.code == coapcode::post;
    job.id = job.booking ? textOf(message.payload) : message.path;
    if (message.deadline)
        job.deadline = internal::upstreamTime() + *message.deadline;
    this->admit(std::move(job));
}

void UpstreamStandin::admit(Job job)
{
    if (this->drains)
        return this->shed(job.caller, job.reply);
    if (this->isCold() && !this->running.empty())
        return this->collapse();
    const bool startsNow = this->running.size() < this->settings.slots;
    if (!startsNow && this->waiting.size() >= this->settings.queue)
        return this->shed(job.caller, job.reply);
    this->recent.emplace(job.reply.token, Recent{job.caller, {}});
    this->recentOrder.push_back(job.reply.token);
    if (this->recentOrder.size() > internal::recentLimit) {
        this->recent.erase(this->recentOrder.front());
        this->recentOrder.pop_front();
    }
    if (startsNow)
        this->run(std::move(job));
    else
        this->waiting.push_back(std::move(job));
}

void UpstreamStandin::run(Job job)
{
    this->counters.add("runs");
    if (job.booking && this->runs.add(job.id))
        this->counters.add("doubleRuns");
    Duration time = this->settings.serviceTime * (this->isCold() ? this->settings.coldFactor : 1);
    const bool late = job.deadline && *job.deadline < internal::upstreamTime() + time;
    if (late)
        time = std::max(Duration(0), *job.deadline - internal::upstreamTime());
    job.timer = std::make_unique<boost::asio::steady_timer>(this->context, time);
    job.timer->async_wait(
        [this, token = job.reply.token, late](const boost::system::error_code &error) {
            if (error)
                return;
            if (late)
                this->abandon(token);
            else
                this->finish(token);
        });
    this->running.insert_or_assign(job.reply.token, std::move(job));
    if (this->isCold())
        this->maxConcurrentCold = std::max(this->maxConcurrentCold, this->running.size());
}

void UpstreamStandin::finish(const Token &token)
{
    const auto found = this->running.find(token);
    if (found == this->running.end())
        return;
    const Job job = std::move(found->second);
    this->running.erase(found);
    if (this->remainingCold > 0)
        --this->remainingCold;
    this->answer(job);
    this->startNext();
}

void UpstreamStandin::abandon(const Token &token)
{
    this->counters.add("expired", this->running.erase(token));
    this->startNext();
}

void UpstreamStandin::startNext()
{
    while (!this->waiting.empty() && this->running.size() < this->settings.slots) {
        Job job = std::move(this->waiting.front());
        this->waiting.pop_front();
        if (job.deadline && *job.deadline <= internal::upstreamTime())
            this->counters.add("expired");
        else
            this->run(std::move(job));
    }
}

void UpstreamStandin::cancel(const Token &token)
{
    const auto erased
        = this->running.erase(token)
          + std::erase_if(this->waiting, [&](const Job &job) { return job.reply.token == token; });
    this->counters.add("cancelled", erased);
    this->startNext();
}

void UpstreamStandin::collapse()
{
    this->counters.add("collapses");
    this->maxConcurrentCold = std::max(this->maxConcurrentCold, this->running.size() + 1);
    this->collapsedUntil = internal::upstreamTime() + this->settings.collapseTime;
    this->running.clear();
    this->waiting.clear();
}

LoadReport UpstreamStandin::load() const
{
    return {static_cast<std::uint16_t>(this->running.size() + this->waiting.size()),
            static_cast<std::uint16_t>(this->flows.size()), !this->isCold()};
}

std::string UpstreamStandin::payload(std::string_view id) const
{
    return this->settings.name + ' ' + this->settings.service + ' ' + std::string(id);
}

void UpstreamStandin::sendFeeds()
{
    this->feedTimer.expires_after(this->settings.feedInterval);
    this->feedTimer.async_wait([this](const boost::system::error_code &error) {
        if (error)
            return;
        for (auto &[caller, flow] : this->flows) {
            const bool confirmable = flow.sequence % internal::confirmableEvery == 0;
            const auto type = confirmable ? CoapType::Confirmable : CoapType::NonConfirmable;
            this->notify(caller, flow, {type, this->nextId++, flow.token});
        }
        this->sendFeeds();
    });
}

void UpstreamStandin::notify(Endpoint caller, Flow &flow, const CoapIdentity &identity)
{
    if (flow.silent || this->hangs || internal::upstreamTime() < this->collapsedUntil)
        return;
    const std::string body = this->payload("feed");
    CoapAnswer item;
    item.load = this->load();
    item.body = body;
    this->send(caller, coapbuilder::notification(identity, ++flow.sequence, item));
}

void UpstreamStandin::answer(const Job &job)
{
    if (this->hangs || internal::upstreamTime() < this->collapsedUntil)
        return;
    const std::string body = this->payload(job.id);
    constexpr unsigned runBits = 32;
    const std::uint64_t run
        = (std::uint64_t{this->settings.address.address} << runBits) | ++this->lastRun;
    CoapIdentity identity = job.reply;
    std::vector<Bytes> messages;
    for (std::uint32_t part = 0; part < this->settings.parts; ++part) {
        CoapAnswer answer;
        answer.code = job.booking ? coapcode::changed : coapcode::content;
        answer.load = this->load();
        answer.body = body;
        answer.etag = run;
        if (this->settings.parts > 1)
            answer.block = CoapBlock{part, part + 1 < this->settings.parts};
        messages.push_back(coapbuilder::answer(identity, answer));
        this->send(job.caller, messages.back());
        // Only the first part can be piggybacked on the acknowledgement.
        identity = {CoapType::NonConfirmable, this->nextId++, job.reply.token};
    }
    const auto record = this->recent.find(job.reply.token);
    if (record != this->recent.end())
        record->second.messages = std::move(messages);
}

void UpstreamStandin::shed(Endpoint caller, const CoapIdentity &reply)
{
    this->counters.add("sheds");
    CoapAnswer refusal;
    refusal.code = coapcode::serviceUnavailable;
    refusal.load = this->load();
    refusal.body = "shed";
    this->send(caller, coapbuilder::answer(reply, refusal));
}

void UpstreamStandin::send(Endpoint caller, const Bytes &message)
{
    const FlowKey flow{caller, this->settings.serviceAddress};
    this->socket.send(this->returnAddress, CoapCodec::datagram(Direction::ToCaller, flow, message));
}

boost::json::value UpstreamStandin::stats() const
{
    boost::json::object result;
    for (const char *name : {"runs", "doubleRuns", "sheds", "flowPackets", "unknownFlowPackets",
                             "wrongService", "expired", "cancelled", "collapses", "malformed"})
        result[name] = this->counters.value(name);
    result["service"] = this->settings.service;
    result["flows"] = this->flows.size();
    result["running"] = this->running.size();
    result["cold"] = this->isCold();
    result["maxConcurrentCold"] = this->maxConcurrentCold;
    return result;
}

} // namespace bulrushgap
