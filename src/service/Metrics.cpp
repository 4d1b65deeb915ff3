#include "service/Metrics.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace bulrushgap {

namespace internal {

constexpr std::array<double, 14> boundsMs{0.25, 0.5, 1,   2,   5,    10,   20,
                                          50,   100, 200, 500, 1000, 2000, 10000};

std::string number(double value)
{
    constexpr std::size_t longestNumber = 32;
    std::array<char, longestNumber> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    return {digits.data(), end};
}

/** \returns edges of [low, high) bins that count a value on a bound below it, as "le" says. */
std::vector<double> edges()
{
    std::vector<double> edges{0};
    for (const double bound : boundsMs)
        edges.push_back(std::nextafter(bound, std::numeric_limits<double>::max()));
    return edges;
}

std::string sample(std::string_view name, std::string_view label, std::string_view value,
                   const std::string &amount)
{
    return std::string(name) + '{' + std::string(label) + "=\"" + std::string(value) + "\"} "
           + amount + '\n';
}

} // namespace internal

TimeHistogram::TimeHistogram()
    : buckets(boost::histogram::make_histogram(Axis(internal::edges())))
{}

void TimeHistogram::record(Duration time)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(time).count();
    this->buckets(milliseconds);
    this->sum += milliseconds;
}

void TimeHistogram::render(std::string_view name, std::string &text) const
{
    const std::string bucket = std::string(name) + "_bucket";
    double total = 0;
    text += "# TYPE " + std::string(name) + " histogram\n";
    for (std::size_t i = 0; i < internal::boundsMs.size(); ++i) {
        total += this->buckets.at(static_cast<int>(i));
        text += internal::sample(bucket, "le", internal::number(internal::boundsMs.at(i)),
                                 internal::number(total));
    }
    total += this->buckets.at(static_cast<int>(internal::boundsMs.size()));
    text += internal::sample(bucket, "le", "+Inf", internal::number(total));
    text += std::string(name) + "_sum " + internal::number(this->sum) + '\n';
    text += std::string(name) + "_count " + internal::number(total) + '\n';
}

TimeHistogram &Metrics::addHistogram(std::string_view name)
{
    return this->histograms.emplace_back(Histogram{std::string(name), {}}).times;
}

void Metrics::addGauge(std::string_view name, std::function<double()> read)
{
    this->gauges.push_back(Gauge{std::string(name), std::move(read)});
}

std::string Metrics::render() const
{
    std::string text;
    std::string lastFamily;
    this->counters.visit([&](std::string_view family, std::string_view label, std::uint64_t value) {
        const std::string name = "bulrushgap_" + std::string(family) + "_total";
        if (family != lastFamily)
            text += "# TYPE " + name + " counter\n";
        lastFamily = family;
        text += internal::sample(name, family == "event" ? "event" : "reason", label,
                                 std::to_string(value));
    });
    for (const Histogram &histogram : this->histograms)
        histogram.times.render("bulrushgap_" + histogram.name + "_milliseconds", text);
    for (const Gauge &gauge : this->gauges) {
        const std::string name = "bulrushgap_" + gauge.name;
        text.append("# TYPE ").append(name).append(" gauge\n");
        text.append(name).append(" ").append(internal::number(gauge.read())).append("\n");
    }
    return text;
}

} // namespace bulrushgap
