// Counters and latency histograms as text.

#include "report/metrics.h"

#include <spdlog/fmt/fmt.h>

#include <array>

namespace parsleyhitch::report {

namespace {

constexpr char kPrefix[] = "parsleyhitch_";
constexpr std::array<std::int64_t, 10> kBounds{1,   5,    20,   50,    100,
                                               250, 1000, 5000, 10000, 60000};
constexpr double kMillisecondsPerSecond = 1000.0;

std::string HistogramLines(const std::string& service,
                           const latency_histogram& values) {
  std::string text;
  const std::string name = std::string(kPrefix) + "request_seconds";
  for (const std::int64_t bound : kBounds) {
    text +=
        fmt::format("{}_bucket{{service=\"{}\",le=\"{}\"}} {}\n", name, service,
                    static_cast<double>(bound) / kMillisecondsPerSecond,
                    values.CountUpTo(model::duration(bound)));
  }
  text += fmt::format("{}_bucket{{service=\"{}\",le=\"+Inf\"}} {}\n", name,
                      service, values.count());
  text += fmt::format(
      "{}_sum{{service=\"{}\"}} {}\n", name, service,
      static_cast<double>(values.sum().count()) / kMillisecondsPerSecond);
  text += fmt::format("{}_count{{service=\"{}\"}} {}\n", name, service,
                      values.count());
  return text;
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

std::string Exposition(const metrics& metrics) {
  std::string text;
  for (const auto& [name, value] : metrics.counters)
    text += fmt::format("# TYPE {0}{1} counter\n{0}{1} {2}\n", kPrefix, name,
                        value);
  if (!metrics.latencies.empty())
    text += fmt::format("# TYPE {}request_seconds histogram\n", kPrefix);
  for (const auto& [service, values] : metrics.latencies)
    text += HistogramLines(service.value(), values);
  return text;
}

}  // namespace parsleyhitch::report
