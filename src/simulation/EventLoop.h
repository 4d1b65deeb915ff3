#pragma once

#include "base/Scheduler.h"
#include "base/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace bulrushgap::simulation {

/** \brief Runs callbacks in the order of virtual time. */
class EventLoop
{
public:
    using Callback = std::function<void()>;

    [[nodiscard]] TimePoint now() const { return this->time; }

    void after(Duration delay, Callback callback)
    {
        this->events.emplace(std::pair{this->time + delay, this->sequence++}, std::move(callback));
    }

    void runFor(Duration duration)
    {
        const auto end = this->time + duration;
        while (!this->events.empty() && this->events.begin()->first.first <= end) {
            auto node = this->events.extract(this->events.begin());
            this->time = node.key().first;
            node.mapped()();
        }
        this->time = end;
    }

    /** \returns the virtual clock and timers on it. */
    [[nodiscard]] Scheduler scheduler()
    {
        return {[this] { return this->time; },
                [this](Duration delay, Scheduler::Handler handler) -> Scheduler::Timer {
                    const auto pending = std::make_shared<Scheduler::Handler>(std::move(handler));
                    this->after(delay, [weak = std::weak_ptr(pending)] {
                        if (const auto due = weak.lock())
                            (*due)();
                    });
                    return pending;
                }};
    }

private:
    TimePoint time{std::chrono::seconds(1000)};
    std::uint64_t sequence = 0;
    std::map<std::pair<TimePoint, std::uint64_t>, Callback> events;
};

} // namespace bulrushgap::simulation
