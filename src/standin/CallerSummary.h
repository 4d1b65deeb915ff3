#pragma once

#include "base/Time.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bulrushgap {

/** \brief How a request ended for its caller. */
struct RequestOutcome
{
    std::string verdict; //!< "answered", "not-run", "may-have-run" or "unanswered".
    std::string reason;  //!< Empty unless refused.
    std::string id;
    bool booking = false;
    Duration sentAt{}; //!< Since the start of the run.
    Duration time{};   //!< Until the last part of the answer.
    bool inDeadline = false;
};

/** \brief What the callers saw. */
class CallerSummary
{
public:
    std::uint64_t opened = 0;
    std::uint64_t broken = 0; //!< Flows that moved or were reset.
    std::uint64_t reset = 0;
    std::uint64_t moved = 0;
    std::uint64_t stalled = 0;
    std::uint64_t items = 0;
    std::uint64_t wrongItems = 0;   //!< Items of another service.
    std::uint64_t wrongAnswers = 0; //!< Answers to another request, or mixed parts.

    void add(const RequestOutcome &outcome);
    [[nodiscard]] std::uint64_t count(std::string_view verdict) const;
    [[nodiscard]] boost::json::value toJson() const;

private:
    struct Second
    {
        std::uint64_t sent = 0;
        std::uint64_t inDeadline = 0;
    };

    [[nodiscard]] boost::json::object times() const;

    std::map<std::string, std::map<std::string, std::uint64_t>, std::less<>> verdicts;
    std::map<std::string, std::vector<std::string>> bookings;
    std::map<std::int64_t, Second> seconds;
    std::vector<Duration> answerTimes;
};

} // namespace bulrushgap
