#pragma once

#include "base/Counters.h"
#include "base/Time.h"

#include <boost/histogram.hpp>

#include <functional>
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

    void recordAnswer(Duration time) { this->answerTime.record(time); }
    void recordQueue(Duration time) { this->queueTime.record(time); }
    void recordTransition(Duration time) { this->transitionTime.record(time); }

    /** \brief Adds a value that is read when the metrics are rendered. */
    void addGauge(std::string_view name, std::function<double()> read);

    [[nodiscard]] std::string render() const;

private:
    struct Gauge
    {
        std::string name;
        std::function<double()> read;
    };

    const Counters &counters;
    TimeHistogram answerTime;
    TimeHistogram queueTime;
    TimeHistogram transitionTime;
    std::vector<Gauge> gauges;
};

} // namespace bulrushgap
