#include "AdmissionWorld.h"

#include "AdmissionPolicy.h"

#include <algorithm>
#include <utility>

namespace bulrushgap {

namespace internal {

constexpr TimePoint benchStart{Duration(3'600'000'000)};
constexpr TimePoint benchMeasured = benchStart + Duration(10'000'000);
constexpr TimePoint benchOutageStart = benchStart + Duration(30'000'000);
constexpr TimePoint benchOutageEnd = benchStart + Duration(50'000'000);
constexpr TimePoint benchEnd = benchStart + Duration(70'000'000);
/** \brief One in so many requests must not be repeated. */
constexpr int benchPostShare = 5;
/** \brief A cold upstream runs one request at a time, this many times slower. */
constexpr int benchColdFactor = 4;
constexpr int benchSuccessesToWarm = 10;

} // namespace internal

AdmissionWorld::AdmissionWorld(const AdmissionScenario &scenario, std::uint64_t seed)
    : scenario(scenario)
    , random(seed)
    , time(internal::benchStart)
    , upstreams(benchUpstreams)
{}

AdmissionFigures AdmissionWorld::run(AdmissionPolicy &policyToRun)
{
    this->policy = &policyToRun;
    this->every(Duration(5'000), [this] { this->policy->tick(); });
    this->every(Duration(500'000), [this] { this->policy->heartbeat(); });
    this->at(Duration(0), [this] { this->arrive(); });
    if (this->scenario.outage) {
        this->agenda.emplace(internal::benchOutageStart, [this] { this->setOutage(true); });
        this->agenda.emplace(internal::benchOutageEnd, [this] { this->setOutage(false); });
    }
    while (!this->agenda.empty()) {
        const auto next = this->agenda.begin();
        this->time = next->first;
        const auto action = std::move(next->second);
        this->agenda.erase(next);
        action();
    }
    std::ranges::sort(this->figures.latencies);
    return this->figures;
}

void AdmissionWorld::send(std::size_t instance, std::uint64_t handle, const DispatchId &id,
                          std::size_t upstream)
{
    const bool works = !this->upstreams.at(upstream).hangs;
    if (works && this->inOutage(this->time))
        ++this->figures.outageDispatches;
    const Sent sent{instance, handle, id, upstream};
    this->at(benchHop, [this, sent] { this->receive(sent); });
}

void AdmissionWorld::relay(std::size_t instance, std::uint64_t handle, std::uint8_t hops)
{
    this->at(benchHop, [=, this] { this->policy->admit(instance, handle, hops); });
}

void AdmissionWorld::answered(std::uint64_t handle)
{
    BenchRequest &request = this->requests.at(handle);
    if (std::exchange(request.ended, true) || this->time > request.deadline
        || !this->measured(request.arrival))
        return;
    ++this->figures.answered;
    this->figures.outageAnswered += this->inOutage(request.arrival) ? 1 : 0;
    this->figures.returnAnswered += this->afterOutage(request.arrival) ? 1 : 0;
    this->figures.latencies.push_back(this->time - request.arrival);
}

void AdmissionWorld::refused(std::uint64_t handle)
{
    BenchRequest &request = this->requests.at(handle);
    if (!std::exchange(request.ended, true) && this->measured(request.arrival))
        ++this->figures.refused;
}

void AdmissionWorld::at(Duration delay, std::function<void()> action)
{
    this->agenda.emplace(this->time + delay, std::move(action));
}

void AdmissionWorld::every(Duration period, const std::function<void()> &action)
{
    const TimePoint last = internal::benchEnd + 2 * benchDeadline;
    for (TimePoint due = this->time; due < last; due += period)
        this->agenda.emplace(due, action);
}

void AdmissionWorld::arrive()
{
    if (this->time >= internal::benchEnd)
        return;
    BenchRequest request;
    request.handle = this->requests.size();
    request.arrival = this->time;
    request.deadline = this->time + benchDeadline;
    request.idempotent = this->random() % internal::benchPostShare != 0;
    this->requests.push_back(request);
    if (this->measured(this->time)) {
        ++this->figures.offered;
        this->figures.outageOffered += this->inOutage(this->time) ? 1 : 0;
        this->figures.returnOffered += this->afterOutage(this->time) ? 1 : 0;
    }
    this->policy->admit(this->random() % benchInstances, request.handle, 0);
    const double capacity = static_cast<double>(benchUpstreams * benchSlots)
                            / static_cast<double>(benchServiceTime.count());
    std::exponential_distribution<double> gap(capacity * this->scenario.load);
    this->at(Duration(static_cast<Duration::rep>(gap(this->random))), [this] { this->arrive(); });
}

void AdmissionWorld::receive(const Sent &sent)
{
    Upstream &upstream = this->upstreams.at(sent.upstream);
    this->figures.peak = std::max<std::uint64_t>(this->figures.peak, upstream.running + 1U);
    const TimePoint deadline = this->requests.at(sent.handle).deadline;
    if (upstream.hangs)
        return;
    const bool cold = upstream.successesToWarm > 0;
    if (upstream.running >= (cold ? 1 : benchSlots)) {
        // An overloaded cold upstream loses its progress.
        upstream.successesToWarm = cold ? internal::benchSuccessesToWarm : 0;
        this->figures.sheds += this->measured(this->time) ? 1 : 0;
        this->reply(sent, AnswerOutcome::Shed);
        return;
    }
    ++upstream.running;
    const double mean = static_cast<double>(benchServiceTime.count());
    std::gamma_distribution<double> work(4.0, mean / 4.0 * (cold ? internal::benchColdFactor : 1));
    const Duration left = std::max(deadline - this->time, Duration(0));
    const Duration needed(static_cast<Duration::rep>(work(this->random)));
    this->at(std::min(needed, left), [this, sent] { this->finish(sent); });
}

void AdmissionWorld::finish(const Sent &sent)
{
    Upstream &upstream = this->upstreams.at(sent.upstream);
    if (upstream.running > 0)
        --upstream.running;
    if (upstream.hangs)
        return;
    upstream.successesToWarm -= upstream.successesToWarm > 0 ? 1 : 0;
    if (this->time < this->requests.at(sent.handle).deadline)
        this->reply(sent, AnswerOutcome::Success);
}

void AdmissionWorld::reply(const Sent &sent, AnswerOutcome outcome)
{
    const Upstream &upstream = this->upstreams.at(sent.upstream);
    const LoadReport report{upstream.running, 0, upstream.successesToWarm == 0};
    this->at(benchHop, [=, this] {
        this->policy->answer(sent.instance, sent.handle, sent.id, sent.upstream, outcome, report);
    });
}

void AdmissionWorld::setOutage(bool out)
{
    for (std::size_t i = 0; i < this->upstreams.size(); i += benchDomains) {
        this->upstreams.at(i).hangs = out;
        this->upstreams.at(i).running = 0;
        this->upstreams.at(i).successesToWarm = internal::benchSuccessesToWarm;
    }
}

bool AdmissionWorld::measured(TimePoint arrival) const
{
    return arrival >= internal::benchMeasured;
}

bool AdmissionWorld::inOutage(TimePoint arrival) const
{
    return this->scenario.outage && arrival >= internal::benchOutageStart
           && arrival < internal::benchOutageEnd;
}

bool AdmissionWorld::afterOutage(TimePoint arrival) const
{
    return this->scenario.outage && arrival >= internal::benchOutageEnd;
}

} // namespace bulrushgap
