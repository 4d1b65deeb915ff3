#include "standin/CallerSummary.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <chrono>

namespace bulrushgap {

namespace internal {

double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

} // namespace internal

void CallerSummary::add(const RequestOutcome &outcome)
{
    ++this->verdicts[outcome.verdict][outcome.reason];
    if (outcome.booking)
        this->bookings[outcome.verdict].push_back(outcome.id);
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(outcome.sentAt).count();
    Second &slot = this->seconds[second];
    ++slot.sent;
    slot.inDeadline += outcome.inDeadline ? 1 : 0;
    if (outcome.verdict == "answered")
        this->answerTimes.push_back(outcome.time);
}

std::uint64_t CallerSummary::count(std::string_view verdict) const
{
    std::uint64_t total = 0;
    const auto found = this->verdicts.find(verdict);
    if (found != this->verdicts.end()) {
        for (const auto &[reason, count] : found->second)
            total += count;
    }
    return total;
}

boost::json::object CallerSummary::times() const
{
    boost::json::object result;
    if (this->answerTimes.empty())
        return result;
    auto sorted = this->answerTimes;
    std::ranges::sort(sorted);
    const auto percentile = [&](std::size_t percent) {
        return internal::toMilliseconds(sorted[(sorted.size() - 1) * percent / 100]);
    };
    result["p50"] = percentile(50);
    result["p99"] = percentile(99);
    result["worst"] = percentile(100);
    return result;
}

boost::json::value CallerSummary::toJson() const
{
    boost::json::object requests;
    for (const auto &[verdict, reasons] : this->verdicts) {
        boost::json::object counts;
        for (const auto &[reason, count] : reasons)
            counts[reason.empty() ? "none" : reason] = count;
        requests[verdict] = counts;
    }
    boost::json::object ids;
    for (const auto &[verdict, list] : this->bookings)
        ids[verdict] = boost::json::array(list.begin(), list.end());
    boost::json::array shares;
    for (const auto &[second, slot] : this->seconds)
        shares.push_back({{"second", second},
                          {"sent", slot.sent},
                          {"inDeadline",
                           static_cast<double>(slot.inDeadline) / static_cast<double>(slot.sent)}});
    return {{"flows",
             {{"opened", this->opened},
              {"broken", this->broken},
              {"reset", this->reset},
              {"moved", this->moved},
              {"stalled", this->stalled},
              {"items", this->items},
              {"wrongItems", this->wrongItems}}},
            {"requests", requests},
            {"bookings", ids},
            {"wrongAnswers", this->wrongAnswers},
            {"answerMs", this->times()},
            {"perSecond", shares}};
}

} // namespace bulrushgap
