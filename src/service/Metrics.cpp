#include "service/Metrics.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace bulrushgap {

namespace internal {

constexpr std::array<double, 14> bucketBoundsMs{0.25, 0.5, 1,   2,   5,    10,   20,
                                                50,   100, 200, 500, 1000, 2000, 10000};

std::string formatNumber(double value)
{
    constexpr std::size_t maxDigits = 32;
    std::array<char, maxDigits> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    return {digits.data(), end};
}

/** \returns the edges of the bins.
 *
 * Bins of Boost.Histogram are [low, high), but Prometheus buckets include their upper bound ("le").
 * Each edge is therefore the next number above a bound.
 */
std::vector<double> bucketEdges()
{
    std::vector<double> edges{0};
    for (const double bound : bucketBoundsMs)
        edges.push_back(std::nextafter(bound, std::numeric_limits<double>::max()));
    return edges;
}

std::string formatSample(std::string_view name, std::string_view label, std::string_view value,
                         const std::string &sampleValue)
{
    return std::string(name) + '{' + std::string(label) + "=\"" + std::string(value) + "\"} "
           + sampleValue + '\n';
}

} // namespace internal

TimeHistogram::TimeHistogram()
    : buckets(boost::histogram::make_histogram(Axis(internal::bucketEdges())))
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
    for (std::size_t i = 0; i < internal::bucketBoundsMs.size(); ++i) {
        total += this->buckets.at(static_cast<int>(i));
        text += internal::formatSample(bucket, "le",
                                       internal::formatNumber(internal::bucketBoundsMs.at(i)),
                                       internal::formatNumber(total));
    }
    total += this->buckets.at(static_cast<int>(internal::bucketBoundsMs.size()));
    text += internal::formatSample(bucket, "le", "+Inf", internal::formatNumber(total));
    text += std::string(name) + "_sum " + internal::formatNumber(this->sum) + '\n';
    text += std::string(name) + "_count " + internal::formatNumber(total) + '\n';
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
        text += internal::formatSample(name, family == "event" ? "event" : "reason", label,
                                       std::to_string(value));
    });
    for (const Histogram &histogram : this->histograms)
        histogram.times.render("bulrushgap_" + histogram.name + "_milliseconds", text);
    for (const Gauge &gauge : this->gauges) {
        const std::string name = "bulrushgap_" + gauge.name;
        text.append("# TYPE ").append(name).append(" gauge\n");
        text.append(name).append(" ").append(internal::formatNumber(gauge.read())).append("\n");
    }
    return text;
}

} // namespace bulrushgap
