// Counters, gauges and latency histograms of one process, and their exposition
// to Prometheus.

#ifndef PARSLEYHITCH_REPORT_METRICS_H_
#define PARSLEYHITCH_REPORT_METRICS_H_

#include <cstdint>
#include <map>
#include <string>

#include "model/effect.h"
#include "report/latency.h"
#include "work/effect.h"

namespace parsleyhitch::report {

struct metrics {
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, std::uint64_t> gauges;
  std::map<model::service_id, latency_histogram> latencies;
  // Durations of the dispatcher's calls and waits, by name.
  std::map<std::string, latency_histogram> durations;
};

metrics Add(metrics metrics, const model::count_metric& counted);
metrics Add(metrics metrics, const model::observe_request& observed);

metrics Add(metrics metrics, const work::count_metric& counted);
metrics Add(metrics metrics, const work::set_gauge& gauge);
metrics Add(metrics metrics, const work::observe_latency& observed);

// The Prometheus text exposition format, version 0.0.4.
std::string Exposition(const metrics& metrics);

}  // namespace parsleyhitch::report

#endif  // PARSLEYHITCH_REPORT_METRICS_H_
