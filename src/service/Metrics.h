#pragma once

#include "base/Counters.h"
#include "base/Time.h"

#include <boost/histogram.hpp>

#include <functional>
#include <list>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace bulrushgap {

/** \brief Prometheus histogram of durations in ms with fixed buckets. */
class TimeHistogram
{
public:
    TimeHistogram();

    void record(Duration time);

    /** \brief Appends buckets, sum and count in the Prometheus text format. */
    void render(std::string_view name, std::string &text) const;

private:
    using Axis = boost::histogram::axis::variable<>;

    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::default_storage> buckets;
    double sum = 0;
};

/** \brief Metrics of one process in the Prometheus text format.
 *
 * Not thread-safe.
 */
class Metrics
{
public:
    explicit Metrics(const Counters &counters)
        : counters(counters)
    {}

    /** \brief Adds the histogram "bulrushgap_NAME_milliseconds".
     *  \returns a reference to it, valid for the lifetime of this object
     */
    [[nodiscard]] TimeHistogram &addHistogram(std::string_view name);

    /** \brief Adds the gauge "bulrushgap_NAME"; \a read is called when the metrics are rendered. */
    void addGauge(std::string_view name, std::function<double()> read);

    [[nodiscard]] std::string render() const;

private:
    struct Gauge
    {
        std::string name;
        std::function<double()> read;
    };

    struct Histogram
    {
        std::string name;
        TimeHistogram times;
    };

    const Counters &counters;
    std::list<Histogram> histograms;
    std::vector<Gauge> gauges;
};

} // namespace bulrushgap
