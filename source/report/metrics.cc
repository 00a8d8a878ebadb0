// Renders counters, gauges and latency histograms in the Prometheus text
// format.

#include "report/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <array>

namespace parsleyhitch::report {

namespace {

constexpr char kPrefix[] = "parsleyhitch_";
// Upper bounds of the exposed buckets.
constexpr std::array<std::int64_t, 10> kBoundsMs{1,   5,    20,   50,    100,
                                                 250, 1000, 5000, 10000, 60000};
constexpr double kMillisecondsPerSecond = 1000.0;

// The lines of one histogram. `label` is a label in the form name="value".
std::string HistogramLines(const std::string& metric,
                           const std::string& label,
                           const latency_histogram& values) {
  std::string text;
  const std::string name = kPrefix + metric;
  for (const std::int64_t bound : kBoundsMs) {
    text += fmt::format("{}_bucket{{{},le=\"{}\"}} {}\n", name, label,
                        static_cast<double>(bound) / kMillisecondsPerSecond,
                        values.CountUpTo(model::duration(bound)));
  }
  text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, label,
                      values.count());
  text += fmt::format(
      "{}_sum{{{}}} {}\n", name, label,
      static_cast<double>(values.sum().count()) / kMillisecondsPerSecond);
  text += fmt::format("{}_count{{{}}} {}\n", name, label, values.count());
  return text;
}

std::string Label(const char* name, const std::string& value) {
  return fmt::format("{}=\"{}\"", name, value);
}

}  // namespace

metrics Add(metrics metrics, const model::count_metric& counted) {
  metrics.counters[counted.name] += counted.increment;
  return metrics;
}

metrics Add(metrics metrics, const model::observe_request& observed) {
  const char* counter = observed.whole_answer ? "requests_answered_total"
                                              : "requests_unanswered_total";
  metrics.counters[counter] += 1;
  metrics.latencies[observed.target].Add(observed.latency);
  return metrics;
}

metrics Add(metrics metrics, const work::count_metric& counted) {
  metrics.counters[counted.name + "_total"] += counted.increment;
  return metrics;
}

metrics Add(metrics metrics, const work::set_gauge& gauge) {
  metrics.gauges[gauge.name] = gauge.value;
  return metrics;
}

metrics Add(metrics metrics, const work::observe_latency& observed) {
  metrics.durations[observed.name].Add(observed.value);
  return metrics;
}

std::string Exposition(const metrics& metrics) {
  std::string text;
  for (const auto& [name, value] : metrics.counters)
    text += fmt::format("# TYPE {0}{1} counter\n{0}{1} {2}\n", kPrefix, name,
                        value);
  for (const auto& [name, value] : metrics.gauges)
    text +=
        fmt::format("# TYPE {0}{1} gauge\n{0}{1} {2}\n", kPrefix, name, value);
  if (!metrics.latencies.empty())
    text += fmt::format("# TYPE {}request_seconds histogram\n", kPrefix);
  for (const auto& [service, values] : metrics.latencies)
    text += HistogramLines("request_seconds", Label("service", service.value()),
                           values);
  if (!metrics.durations.empty())
    text += fmt::format("# TYPE {}duration_seconds histogram\n", kPrefix);
  for (const auto& [name, values] : metrics.durations)
    text += HistogramLines("duration_seconds", Label("of", name), values);
  return text;
}

}  // namespace parsleyhitch::report
