#include "simulation/RunReport.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace bulrushgap::simulation {

namespace internal {

constexpr std::size_t keptTexts = 20;

double reportMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

boost::json::object toJson(const RequestCounts &counts)
{
    boost::json::object object;
    for (std::size_t i = 0; i < counts.results.size(); ++i) {
        const std::string_view name = toString(static_cast<RequestResult>(i));
        object[boost::json::string_view(name.data(), name.size())] = counts.results.at(i);
    }
    return object;
}

} // namespace internal

std::string_view toString(Promise promise)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(Promise::Count)> names{
        "packet_unchanged",
        "right_service",
        "route_in_force",
        "no_flows_to_leaving",
        "no_flows_to_evacuated",
        "no_false_reset",
        "flows_stay",
        "cold_rate",
        "run_once",
        "right_answer",
        "recovery"};
    return names.at(static_cast<std::size_t>(promise));
}

std::string_view toString(RequestResult result)
{
    static constexpr std::array<std::string_view, static_cast<std::size_t>(RequestResult::Count)>
        names{"in_aim", "late", "refused", "expired"};
    return names.at(static_cast<std::size_t>(result));
}

std::uint64_t RequestCounts::total() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : this->results)
        sum += count;
    return sum;
}

double RequestCounts::servedShare() const
{
    const std::uint64_t all = this->total();
    const std::uint64_t served = this->of(RequestResult::InAim) + this->of(RequestResult::Late);
    return all == 0 ? 1.0 : static_cast<double>(served) / static_cast<double>(all);
}

void RunReport::addRequest(const std::string &requestClass, RequestResult result, Duration sentAt,
                           Duration time)
{
    this->byClass[requestClass].add(result);
    this->bySecond[std::chrono::duration_cast<std::chrono::seconds>(sentAt).count()].add(result);
    if (result == RequestResult::InAim || result == RequestResult::Late)
        this->times.push_back(time);
}

void RunReport::addBroken(Promise promise, Duration at, const std::string &what)
{
    ++this->brokenCounts.at(static_cast<std::size_t>(promise));
    if (this->texts.size() >= internal::keptTexts)
        return;
    std::ostringstream text;
    text << std::fixed << std::setprecision(3) << internal::reportMilliseconds(at) / 1'000 << " s "
         << toString(promise) << ": " << what;
    this->texts.push_back(text.str());
}

std::uint64_t RunReport::brokenTotal() const
{
    std::uint64_t sum = 0;
    for (const std::uint64_t count : this->brokenCounts)
        sum += count;
    return sum;
}

RequestCounts RunReport::total() const
{
    RequestCounts sum;
    for (const auto &[name, counts] : this->byClass) {
        for (std::size_t i = 0; i < counts.results.size(); ++i)
            sum.results.at(i) += counts.results.at(i);
    }
    return sum;
}

RequestCounts RunReport::between(std::int64_t first, std::int64_t end) const
{
    RequestCounts sum;
    for (auto second = this->bySecond.lower_bound(first);
         second != this->bySecond.end() && second->first < end; ++second) {
        for (std::size_t i = 0; i < sum.results.size(); ++i)
            sum.results.at(i) += second->second.results.at(i);
    }
    return sum;
}

double RunReport::worstSecond() const
{
    double worst = 1.0;
    for (const auto &[second, counts] : this->bySecond)
        worst = std::min(worst, counts.servedShare());
    return worst;
}

std::uint64_t RunReport::counter(const std::string &name) const
{
    const auto found = this->counters.find(name);
    return found == this->counters.end() ? 0 : found->second;
}

Duration RunReport::percentile(std::size_t percent) const
{
    if (this->times.empty())
        return {};
    std::vector<Duration> sorted = this->times;
    const std::size_t position = (sorted.size() - 1) * percent / 100;
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(position);
    std::ranges::nth_element(sorted, place);
    return *place;
}

std::string RunReport::toText() const
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    text << "class            asked   in aim     late  refused  expired   served\n";
    const auto line = [&](const std::string &name, const RequestCounts &counts) {
        text << std::left << std::setw(12) << name << std::right << std::setw(10) << counts.total();
        for (const std::uint64_t count : counts.results)
            text << std::setw(9) << count;
        text << std::setw(9) << counts.servedShare() << '\n';
    };
    for (const auto &[name, counts] : this->byClass)
        line(name, counts);
    line("all", this->total());
    text << "worst second " << this->worstSecond() << ", answers in ms: p50 "
         << internal::reportMilliseconds(this->percentile(50)) << ", p99 "
         << internal::reportMilliseconds(this->percentile(99)) << '\n';
    for (const auto &[service, value] : this->imbalance)
        text << "busiest to mean of " << service << ": " << value << '\n';
    for (const auto &[name, value] : this->counters)
        text << name << ' ' << value << '\n';
    text << "broken promises: " << this->brokenTotal() << '\n';
    for (const std::string &each : this->texts)
        text << "  " << each << '\n';
    return text.str();
}

boost::json::value RunReport::toJson() const
{
    boost::json::object classes;
    for (const auto &[name, counts] : this->byClass)
        classes[name] = internal::toJson(counts);
    boost::json::array seconds;
    for (const auto &[second, counts] : this->bySecond) {
        boost::json::object entry = internal::toJson(counts);
        entry["second"] = second;
        seconds.push_back(std::move(entry));
    }
    boost::json::object broken;
    for (std::size_t i = 0; i < this->brokenCounts.size(); ++i) {
        const std::string_view name = toString(static_cast<Promise>(i));
        broken[boost::json::string_view(name.data(), name.size())] = this->brokenCounts.at(i);
    }
    boost::json::object load;
    for (const auto &[service, value] : this->imbalance)
        load[service] = value;
    boost::json::object counted;
    for (const auto &[name, value] : this->counters)
        counted[name] = value;
    return {{"classes", classes},
            {"seconds", seconds},
            {"broken", broken},
            {"brokenTexts", boost::json::array(this->texts.begin(), this->texts.end())},
            {"busiestToMean", load},
            {"counters", counted}};
}

} // namespace bulrushgap::simulation
