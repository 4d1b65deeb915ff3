#pragma once

#include "base/Time.h"

#include <functional>
#include <memory>
#include <utility>

namespace bulrushgap {

/** \brief Clock and timers for code without I/O of its own, in real or virtual time. */
class Scheduler
{
public:
    using Handler = std::function<void()>;

    /** \brief Handle of a scheduled call; destroying it cancels the call. */
    using Timer = std::shared_ptr<void>;

    using Clock = std::function<TimePoint()>;
    using TimerStarter = std::function<Timer(Duration delay, Handler handler)>;

    Scheduler(Clock clock, TimerStarter starter)
        : clock(std::move(clock))
        , starter(std::move(starter))
    {}

    [[nodiscard]] TimePoint now() const { return this->clock(); }

    /** \brief Calls \a handler after \a delay, never from within this function. */
    [[nodiscard]] Timer after(Duration delay, Handler handler) const
    {
        return this->starter(delay, std::move(handler));
    }

private:
    Clock clock;
    TimerStarter starter;
};

} // namespace bulrushgap
