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

/** \brief Times in ms with fixed buckets, as Prometheus wants them. */
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
 * Not synchronised; owned and used by one thread.
 */
class Metrics
{
public:
    explicit Metrics(const Counters &counters)
        : counters(counters)
    {}

    /** \brief Adds a histogram "bulrushgap_NAME_milliseconds". \returns it; valid as long as this.
     */
    [[nodiscard]] TimeHistogram &addHistogram(std::string_view name);

    /** \brief Adds a value that is read when the metrics are rendered. */
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
