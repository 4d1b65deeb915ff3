#include "simulation/CallerPopulation.h"

#include <algorithm>
#include <utility>

namespace bulrushgap::simulation {

namespace internal {

constexpr std::uint32_t callerNetwork = 0x6440'0000;
constexpr std::uint32_t callersInDomain = 32;
constexpr unsigned statusServed = 200;

/** How long the end of a flow is kept to answer repetitions of the upstream's last packets. */
constexpr Duration flowLinger = std::chrono::seconds(2);

} // namespace internal

CallerPopulation::CallerPopulation(Surroundings &surroundings, const RunSettings &settings,
                                   unsigned number, CallerPopulationHooks hooks)
    : surroundings(surroundings)
    , settings(settings)
    , network(internal::callerNetwork + (number << 8U))
    , hooks(std::move(hooks))
    , arrivals(settings.classes.size())
{}

void CallerPopulation::start()
{
    this->startedAt = this->surroundings.loop.now();
    for (const RequestClass &requestClass : this->settings.classes)
        this->scheduleNext(requestClass);
}

void CallerPopulation::scheduleNext(const RequestClass &requestClass)
{
    if (this->stopped)
        return;
    std::exponential_distribution<double> gap(requestClass.perSecond * this->pressure);
    const std::chrono::duration<double> pause(gap(this->surroundings.random));
    const auto index = static_cast<std::size_t>(&requestClass - this->settings.classes.data());
    this->arrivals.at(index) = this->surroundings.scheduler.after(
        std::chrono::duration_cast<Duration>(pause), [this, &requestClass] {
            if (!this->stopped)
                this->begin(requestClass);
            this->scheduleNext(requestClass);
        });
}

void CallerPopulation::begin(const RequestClass &requestClass)
{
    const auto request = std::make_shared<Request>();
    request->requestClass = &requestClass;
    request->name = requestClass.name + '-' + std::to_string(this->network >> 8U & 0xffU) + '-'
                    + std::to_string(this->nextRequest++);
    request->startedAt = this->surroundings.loop.now();
    request->deadline = this->surroundings.scheduler.after(
        requestClass.deadline, [this, weak = std::weak_ptr(request)] {
            if (const auto expired = weak.lock())
                this->finish(expired, RequestResult::Expired);
        });
    this->tryOnce(request);
}

void CallerPopulation::tryOnce(const RequestPtr &request)
{
    const RequestClass &requestClass = *request->requestClass;
    // A try after a failure uses a flow of its own from a new port.
    CallerFlow *flow = request->tries == 0 ? this->idleFlow(requestClass) : nullptr;
    const bool isNew = flow == nullptr;
    if (isNew)
        flow = this->newFlow(requestClass);
    ++request->tries;
    request->tryId = request->name + '.' + std::to_string(request->tries);
    request->flow = flow;
    this->busy[flow] = request;
    const bool repeatable = requestClass.kind == balance::RequestKind::Idempotent;
    flow->request({request->tryId, repeatable ? "GET" : "POST", '/' + requestClass.name,
                   requestClass.requestBytes});
    if (isNew)
        flow->open();
}

CallerFlow *CallerPopulation::idleFlow(const RequestClass &requestClass)
{
    if (!requestClass.keepsFlow)
        return nullptr;
    std::vector<CallerFlow *> &flowsOfClass = this->idle[requestClass.name];
    while (!flowsOfClass.empty()) {
        const std::size_t position = this->surroundings.random() % flowsOfClass.size();
        std::swap(flowsOfClass[position], flowsOfClass.back());
        CallerFlow *flow = flowsOfClass.back();
        flowsOfClass.pop_back();
        const Duration age = this->surroundings.loop.now() - flow->openedAt();
        if (flow->isOpen() && age < this->settings.bounds.flowLifetime / 2)
            return flow;
        this->discard(flow);
    }
    return nullptr;
}

Endpoint CallerPopulation::nextLocal()
{
    const std::uint32_t host = 1 + this->nextCaller++ % internal::callersInDomain;
    if (this->nextCaller % internal::callersInDomain == 0)
        ++this->nextPort;
    return {this->network | host, this->nextPort};
}

CallerFlow *CallerPopulation::newFlow(const RequestClass &requestClass)
{
    const Endpoint local = this->nextLocal();
    const auto sequence = static_cast<std::uint32_t>(this->surroundings.random());
    auto &place = this->flows[local];
    place = std::make_unique<CallerFlow>(this->surroundings.scheduler, local, requestClass.route,
                                         sequence);
    CallerFlow *flow = place.get();
    CallerFlowHooks flowHooks;
    flowHooks.send = this->hooks.send;
    flowHooks.onOpen = [] {
    };
    flowHooks.onAnswer = [this, flow](const HttpAnswer &answer) {
        this->onAnswer(flow, answer);
    };
    flowHooks.onFailed = [this, flow](FlowFailure failure, bool opened) {
        if (failure == FlowFailure::Broken)
            this->hooks.onBroken(Promise::PacketUnchanged, "a caller got a packet of nobody");
        this->onFailed(flow, opened);
    };
    flowHooks.onForeignReset = [this, flow](const WirePacket &, bool opened) {
        this->hooks.onForeignReset(*flow, opened);
    };
    flow->setHooks(std::move(flowHooks));
    return flow;
}

void CallerPopulation::onPacket(const WirePacket &packet)
{
    const auto found = this->flows.find(packet.destination);
    if (found != this->flows.end())
        found->second->onPacket(packet);
}

void CallerPopulation::onAnswer(CallerFlow *flow, const HttpAnswer &answer)
{
    const auto found = this->busy.find(flow);
    if (found == this->busy.end()) {
        this->hooks.onBroken(Promise::RightAnswer, "an answer came with no request waiting");
        return;
    }
    const RequestPtr request = found->second;
    const RequestClass &requestClass = *request->requestClass;
    if (answer.requestId != request->tryId) {
        this->hooks.onBroken(Promise::RightAnswer,
                             request->tryId + " got the answer of " + answer.requestId);
        return;
    }
    this->busy.erase(found);
    if (answer.status != internal::statusServed) {
        this->discard(flow);
        this->retryOrEnd(request, true);
        return;
    }
    if (answer.stamp.empty() || answer.bodyBytes != requestClass.answerBytes)
        this->hooks.onBroken(Promise::RightAnswer, request->tryId + " got an incomplete answer");
    if (requestClass.keepsFlow && flow->isOpen())
        this->idle[requestClass.name].push_back(flow);
    else
        this->discard(flow);
    const Duration time = this->surroundings.loop.now() - request->startedAt;
    this->finish(request, time <= requestClass.aim ? RequestResult::InAim : RequestResult::Late);
}

void CallerPopulation::onFailed(CallerFlow *flow, bool opened)
{
    const auto found = this->busy.find(flow);
    if (found == this->busy.end()) {
        for (auto &[name, flowsOfClass] : this->idle)
            std::erase(flowsOfClass, flow);
        this->discard(flow);
        return;
    }
    const RequestPtr request = found->second;
    this->busy.erase(found);
    this->discard(flow);
    const bool repeatable = request->requestClass->kind == balance::RequestKind::Idempotent;
    this->retryOrEnd(request, repeatable || !opened);
}

void CallerPopulation::retryOrEnd(const RequestPtr &request, bool mayRepeat)
{
    request->flow = nullptr;
    if (mayRepeat && request->tries <= request->requestClass->retries)
        this->tryOnce(request);
    else
        this->finish(request, RequestResult::Refused);
}

void CallerPopulation::finish(const RequestPtr &request, RequestResult result)
{
    request->deadline.reset();
    if (request->flow != nullptr && this->busy.erase(request->flow) > 0)
        this->discard(request->flow);
    request->flow = nullptr;
    const TimePoint now = this->surroundings.loop.now();
    this->hooks.onResult(*request->requestClass, result, request->startedAt - this->startedAt,
                         now - request->startedAt);
}

void CallerPopulation::discard(CallerFlow *flow)
{
    flow->close();
    const Endpoint local = flow->localAddress();
    this->cleanups.push_back(
        this->surroundings.scheduler.after(internal::flowLinger, [this, local] {
            this->flows.erase(local);
            this->cleanups.pop_front();
        }));
}

} // namespace bulrushgap::simulation
