#include "service/Metrics.h"

#include <catch2/catch.hpp>

using namespace bulrushgap;

// Guards against counters missing in the output, and against histogram buckets that are not
// cumulative.
TEST_CASE("metrics are rendered in the Prometheus text format", "[Metrics]")
{
    Counters counters;
    counters.refuse(RefusalReason::Deadline);
    counters.add("transition_forced", 2);
    Metrics metrics(counters);
    metrics.addGauge("flows", [] { return 7.0; });
    TimeHistogram &answers = metrics.addHistogram("answer_time");
    answers.record(std::chrono::milliseconds(5));
    answers.record(std::chrono::seconds(60));
    static_cast<void>(metrics.addHistogram("queue_time"));
    const std::string text = metrics.render();
    const std::string line
        = GENERATE(as<std::string>{}, "# TYPE bulrushgap_refusal_total counter",
                   "bulrushgap_refusal_total{reason=\"deadline\"} 1",
                   "bulrushgap_retry_total{reason=\"shed\"} 0",
                   "bulrushgap_event_total{event=\"transition_forced\"} 2",
                   "bulrushgap_answer_time_milliseconds_bucket{le=\"2\"} 0",
                   "bulrushgap_answer_time_milliseconds_bucket{le=\"5\"} 1",
                   "bulrushgap_answer_time_milliseconds_bucket{le=\"10000\"} 1",
                   "bulrushgap_answer_time_milliseconds_bucket{le=\"+Inf\"} 2",
                   "bulrushgap_answer_time_milliseconds_sum 60005",
                   "bulrushgap_answer_time_milliseconds_count 2",
                   "bulrushgap_queue_time_milliseconds_count 0", "bulrushgap_flows 7");
    REQUIRE(('\n' + text).find('\n' + line + '\n') != std::string::npos);
}
