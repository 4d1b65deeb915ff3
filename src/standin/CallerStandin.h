#pragma once

#include "base/Time.h"
#include "standin/CallerSettings.h"
#include "standin/CallerSummary.h"
#include "standin/FeedCaller.h"
#include "standin/RequestCaller.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace bulrushgap {

/** \brief Callers of some services: feeds, GET requests and bookings for a given time. */
class CallerStandin
{
public:
    /** \param onEnd called once, after the duration and when the last request has ended. */
    CallerStandin(boost::asio::io_context &context, CallerSettings settings,
                  std::function<void()> onEnd);

    [[nodiscard]] const CallerSummary &summary() const { return this->result; }

private:
    struct Load
    {
        const CallerServiceSettings *service = nullptr;
        std::unique_ptr<RequestCaller> requests;
        std::uint64_t gets = 0; //!< Sent so far.
        std::uint64_t bookings = 0;
    };

    void schedule();
    void tick();
    void openFeeds(TimePoint now);
    void sendDue(Load &load, TimePoint now);
    [[nodiscard]] bool isFinished(TimePoint now) const;

    boost::asio::io_context &context;
    CallerSettings settings;
    std::function<void()> onEnd;
    Random random;
    CallerSummary result;
    TimePoint start;
    std::vector<Load> loads;
    std::vector<std::unique_ptr<FeedCaller>> feeds;
    boost::asio::steady_timer timer;
};

/** \brief Runs the stand-in, then prints the summary as JSON. \returns the exit code. */
int runCallersStandin(std::span<const std::string> arguments);

} // namespace bulrushgap
