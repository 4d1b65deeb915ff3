#include "standin/CallerStandin.h"

#include <algorithm>

namespace bulrushgap {

namespace internal {

constexpr auto callerTick = std::chrono::milliseconds(5);
/** Feeds opened per tick and service, so that opening many does not flood socket buffers. */
constexpr std::uint64_t feedsPerTick = 20;

TimePoint callerTime()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

std::uint64_t dueAt(Duration elapsed, std::uint64_t perSecond)
{
    constexpr std::uint64_t microseconds = 1'000'000;
    return static_cast<std::uint64_t>(elapsed.count()) * perSecond / microseconds;
}

} // namespace internal

CallerStandin::CallerStandin(boost::asio::io_context &context, CallerSettings settings,
                             std::function<void()> onEnd)
    : context(context)
    , settings(std::move(settings))
    , onEnd(std::move(onEnd))
    , random(this->settings.seed)
    , start(internal::callerTime())
    , timer(context)
{
    for (const CallerServiceSettings &service : this->settings.services) {
        Load load;
        load.service = &service;
        load.requests = std::make_unique<RequestCaller>(context, this->settings, service,
                                                        this->random, this->result, this->start);
        this->loads.push_back(std::move(load));
    }
    this->schedule();
}

void CallerStandin::schedule()
{
    this->timer.expires_after(internal::callerTick);
    this->timer.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            this->tick();
    });
}

void CallerStandin::tick()
{
    const TimePoint now = internal::callerTime();
    const bool running = now - this->start < this->settings.duration;
    if (running)
        this->openFeeds(now);
    for (Load &load : this->loads) {
        if (running)
            this->sendDue(load, now);
        load.requests->tick(now);
    }
    for (const auto &feed : this->feeds)
        feed->tick(now);
    if (!this->isFinished(now))
        return this->schedule();
    for (const auto &feed : this->feeds)
        feed->close();
    this->onEnd();
}

void CallerStandin::openFeeds(TimePoint now)
{
    const auto ticks = static_cast<std::uint64_t>((now - this->start) / internal::callerTick) + 1;
    std::uint64_t wanted = 0;
    for (const CallerServiceSettings &service : this->settings.services) {
        wanted += std::min(service.feeds, ticks * internal::feedsPerTick);
        while (this->feeds.size() < wanted)
            this->feeds.push_back(std::make_unique<FeedCaller>(
                this->context, this->settings, service, this->random, this->result));
    }
}

void CallerStandin::sendDue(Load &load, TimePoint now)
{
    const Duration elapsed = now - this->start;
    const std::string prefix = this->settings.bookingPrefix + '-' + load.service->name;
    const std::uint64_t dueGets = internal::dueAt(elapsed, load.service->getsPerSecond);
    while (load.gets < dueGets)
        load.requests->request(prefix + "-g" + std::to_string(load.gets++), false, now);
    const std::uint64_t dueBookings = internal::dueAt(elapsed, load.service->bookingsPerSecond);
    while (load.bookings < dueBookings)
        load.requests->request(prefix + "-b" + std::to_string(load.bookings++), true, now);
}

bool CallerStandin::isFinished(TimePoint now) const
{
    const bool over = now - this->start >= this->settings.duration;
    return over && std::ranges::all_of(this->loads, [](const Load &load) {
               return load.requests->pending() == 0;
           });
}

} // namespace bulrushgap
