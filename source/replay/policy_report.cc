// Computes the measures of a run. An unfinished job counts with the time from
// its arrival to the end of the run; otherwise a policy would look better for
// starving jobs.

#include "replay/policy_report.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <set>

#include "report/latency.h"

namespace parsleyhitch::replay {

namespace {

constexpr double kMsPerSecond = 1000.0;
constexpr double kMsPerHour = 3600000.0;
constexpr double kPercent = 100.0;

double Seconds(model::duration value) {
  return static_cast<double>(value.count()) / kMsPerSecond;
}

const model::timestamp* PhaseTime(const run_result& result,
                                  const std::string& job,
                                  model::job_phase phase) {
  const auto phases = result.phases.find(job);
  if (phases == result.phases.end())
    return nullptr;
  const auto found = phases->second.find(phase);
  return found == phases->second.end() ? nullptr : &found->second;
}

std::map<std::string, const call_outcome*> OutcomesByName(
    const run_result& result) {
  std::map<std::string, const call_outcome*> outcomes;
  for (const call_outcome& outcome : result.outcomes)
    outcomes.emplace(outcome.name, &outcome);
  return outcomes;
}

void MeasureJobs(policy_measures& measures,
                 const scenario& scenario,
                 const run_result& result) {
  const auto outcomes = OutcomesByName(result);
  std::map<std::string, report::latency_histogram> completion;
  std::map<std::string, double> unfinished;
  std::map<std::string, report::latency_histogram> start;
  for (const job_arrival& job : scenario.jobs) {
    const auto outcome = outcomes.find(job.name);
    const bool accepted =
        outcome != outcomes.end() && outcome->second->answer.job &&
        !PhaseTime(result, job.name, model::job_phase::kCancelled);
    if (!accepted)
      continue;
    const model::timestamp arrived = kRunStart + job.at;
    const model::timestamp end = kRunStart + scenario.setup.until;
    const model::timestamp* finished =
        PhaseTime(result, job.name, model::job_phase::kFinished);
    const model::timestamp* running =
        PhaseTime(result, job.name, model::job_phase::kRunning);
    unfinished[job.spec.kind] += finished == nullptr ? 1 : 0;
    completion[job.spec.kind].Add((finished == nullptr ? end : *finished) -
                                  arrived);
    start[job.spec.kind].Add((running == nullptr ? end : *running) - arrived);
  }
  for (const auto& [kind, times] : completion) {
    measures["job " + kind + " completion p50 s"] =
        Seconds(times.Quantile(500));
    measures["job " + kind + " completion p95 s"] =
        Seconds(times.Quantile(950));
    measures["job " + kind + " completion p99 s"] =
        Seconds(times.Quantile(990));
    measures["job " + kind + " start p95 s"] =
        Seconds(start[kind].Quantile(950));
    measures["job " + kind + " unfinished"] = unfinished[kind];
  }
}

void MeasureRequests(policy_measures& measures,
                     const scenario& scenario,
                     const run_result& result) {
  const auto outcomes = OutcomesByName(result);
  std::map<std::string, report::latency_histogram> waiting;
  std::map<std::string, double> in_time;
  std::map<std::string, double> not_run;
  std::map<std::string, double> total;
  for (const request_arrival& request : scenario.requests) {
    const std::string& service = request.target.value();
    total[service] += 1;
    const auto found = outcomes.find(request.name);
    if (found == outcomes.end())
      continue;
    const call_outcome& outcome = *found->second;
    const bool answered = outcome.answer.kind == model::answer_kind::kAnswered;
    in_time[service] += answered ? 1 : 0;
    not_run[service] += outcome.answer.ran == model::run_state::kNotRun ? 1 : 0;
    const model::duration took = outcome.answered - outcome.arrived;
    waiting[service].Add(
        answered ? std::max(took - request.takes, model::duration(1)) : took);
  }
  for (const auto& [service, count] : total) {
    measures["request " + service + " in time %"] =
        kPercent * in_time[service] / count;
    measures["request " + service + " shed %"] =
        kPercent * not_run[service] / count;
    measures["request " + service + " waiting p99 s"] =
        Seconds(waiting[service].Quantile(990));
  }
}

bool IsLowerBetter(const std::string& measure) {
  return !measure.ends_with("in time %") && !measure.ends_with("whole workers");
}

std::string FormatRatio(const std::string& measure,
                        double product,
                        double baseline) {
  const double better = IsLowerBetter(measure) ? product : baseline;
  const double worse = IsLowerBetter(measure) ? baseline : product;
  if (better == 0)
    return worse == 0 ? "same" : "-";
  return fmt::format("{:.2f}x", worse / better);
}

struct measure_values {
  std::vector<double> product;
  std::vector<double> baseline;
};

std::string FormatSpread(std::vector<double> values) {
  std::ranges::sort(values);
  return fmt::format("{:.2f} [{:.2f} .. {:.2f}]", values[values.size() / 2],
                     values.front(), values.back());
}

}  // namespace

policy_measures Measure(const scenario& scenario, const run_result& result) {
  policy_measures measures;
  MeasureJobs(measures, scenario, result);
  MeasureRequests(measures, scenario, result);
  if (!scenario.jobs.empty()) {
    measures["fleet stranded accelerator-hours"] =
        static_cast<double>(result.idle_while_waiting) / kMsPerHour;
    measures["fleet preemptions"] = static_cast<double>(result.preemptions);
    measures["fleet work lost accelerator-hours"] =
        static_cast<double>(result.work_lost) / kMsPerHour;
    measures["fleet largest free rack, whole workers"] =
        result.samples == 0 ? 0
                            : static_cast<double>(result.largest_rack_sum) /
                                  static_cast<double>(result.samples);
  }
  return measures;
}

std::vector<report::observation> Observations(const scenario& scenario,
                                              const run_result& result) {
  std::vector<report::observation> observations;
  const auto outcomes = OutcomesByName(result);
  for (const request_arrival& request : scenario.requests) {
    const auto found = outcomes.find(request.name);
    if (found == outcomes.end())
      continue;
    const call_outcome& outcome = *found->second;
    observations.push_back(
        {.service = request.target,
         .at = outcome.answered,
         .latency = outcome.answered - outcome.arrived,
         .whole_answer = outcome.answer.kind == model::answer_kind::kAnswered});
  }
  return observations;
}

policy_comparison Compare(const std::string& trace, const scenario& scenario) {
  return {.trace = trace,
          .workload = scenario.workload,
          .product = Measure(scenario, RunScenario(scenario, {})),
          .baseline = Measure(
              scenario,
              RunScenario(scenario, {.policy = policy_choice::kBaseline}))};
}

std::string ComparisonTable(const policy_comparison& comparison) {
  std::string table =
      fmt::format("{}\n{:<52} {:>12} {:>12} {:>10}\n", comparison.trace,
                  "MEASURE", "PRODUCT", "BASELINE", "BETTER BY");
  for (const auto& [name, product] : comparison.product) {
    const auto found = comparison.baseline.find(name);
    const double baseline =
        found == comparison.baseline.end() ? 0 : found->second;
    table += fmt::format("{:<52} {:>12.2f} {:>12.2f} {:>10}\n", name, product,
                         baseline, FormatRatio(name, product, baseline));
  }
  return table;
}

std::string SpreadTable(const std::vector<policy_comparison>& comparisons) {
  std::map<std::string, std::map<std::string, measure_values>>
      values_by_workload;
  std::map<std::string, int> traces;
  for (const policy_comparison& each : comparisons) {
    ++traces[each.workload];
    for (const auto& [name, product] : each.product) {
      measure_values& values = values_by_workload[each.workload][name];
      values.product.push_back(product);
      const auto found = each.baseline.find(name);
      values.baseline.push_back(found == each.baseline.end() ? 0
                                                             : found->second);
    }
  }
  std::string table;
  for (const auto& [workload, measures] : values_by_workload) {
    table += fmt::format(
        "{} over {} traces: middle [least .. greatest]\n{:<52} {:>28} {:>28}\n",
        workload, traces[workload], "MEASURE", "PRODUCT", "BASELINE");
    for (const auto& [name, values] : measures) {
      table += fmt::format("{:<52} {:>28} {:>28}\n", name,
                           FormatSpread(values.product),
                           FormatSpread(values.baseline));
    }
  }
  return table;
}

}  // namespace parsleyhitch::replay
