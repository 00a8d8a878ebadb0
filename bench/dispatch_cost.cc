// Measures the cost of the leader's reducer by kind of event and number of
// workers. The load is proportional to the fleet size, with a peak in the
// middle of the run. The total is the processor time needed per simulated
// second, that is, the share of one core.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "support/platform_simulation.h"

namespace parsleyhitch::bench {

namespace {

constexpr work::duration kWarmUp{3000};
constexpr work::duration kStep{100};
constexpr std::uint32_t kSteps = 150;
constexpr std::uint32_t kPeakFirstStep = 40;
constexpr std::uint32_t kPeakEndStep = 80;

// A class of jobs in the load; its rate is per 350 workers.
struct job_class {
  const char* queue;
  double jobs_per_second;
  std::uint32_t tasks;
  bool gang;
  std::int64_t max_accelerators;
};

constexpr job_class kJobClasses[] = {
    {"urgent", 12.0, 5, true, 8},
    {"normal", 4.0, 10, false, 8},
    {"background", 5.0, 30, false, 1},
};

struct event_cost {
  std::uint64_t count = 0;
  std::chrono::nanoseconds total{0};
  std::chrono::nanoseconds max{0};
};

using costs = std::map<std::string, event_cost>;

const char* EventKind(const work::event& event) {
  static const char* const names[] = {
      "entry_started", "wake_due",          "feed_read",       "newest_read",
      "feed_unread",   "append_answered",   "start_answered",  "stop_answered",
      "hold_answered", "peer_heard",        "catalog_relayed", "client_called",
      "client_gone",   "shutdown_requested"};
  return names[event.index()];
}

class load_generator {
 public:
  load_generator(tests::platform_simulation& simulation, double scale)
      : simulation_(simulation), scale_(scale) {}

  // Submits the jobs that arrive within one step.
  void SubmitStep(double rate_factor) {
    for (const job_class& kind : kJobClasses) {
      accrued_jobs_[kind.queue] += kind.jobs_per_second * scale_ * rate_factor *
                                   std::chrono::duration<double>(kStep).count();
      while (accrued_jobs_[kind.queue] >= 1.0) {
        accrued_jobs_[kind.queue] -= 1.0;
        SubmitOne(kind);
      }
    }
  }

 private:
  void SubmitOne(const job_class& kind) {
    const std::int64_t accelerators =
        1 + static_cast<std::int64_t>(
                random_() % static_cast<std::uint64_t>(kind.max_accelerators));
    std::string id = std::to_string(++last_job_);
    id.insert(0, 16 - id.size(), '0');
    simulation_.Submit(0, id,
                       {{.tasks = kind.tasks,
                         .need = {.cpu_millis = 1000 * accelerators,
                                  .memory_mb = 1024,
                                  .accelerators = accelerators},
                         .estimate = work::duration(1000),
                         .gang = kind.gang}},
                       kind.queue);
  }

  tests::platform_simulation& simulation_;
  const double scale_;
  std::mt19937_64 random_{1};
  std::map<std::string, double> accrued_jobs_;
  std::uint64_t last_job_ = 0;
};

void PrintCosts(std::uint32_t workers, const costs& measured, double seconds) {
  std::chrono::nanoseconds all{0};
  for (const auto& [kind, cost] : measured) {
    all += cost.total;
    const double mean = static_cast<double>(cost.total.count()) / 1000.0 /
                        static_cast<double>(cost.count);
    std::cout << std::setw(6) << workers << std::setw(18) << kind
              << std::setw(9) << cost.count << std::setw(11) << std::fixed
              << std::setprecision(1) << mean << " us mean" << std::setw(11)
              << static_cast<double>(cost.max.count()) / 1e6 << " ms max\n";
  }
  std::cout << std::setw(6) << workers
            << "  processor seconds per second: " << std::setprecision(4)
            << std::chrono::duration<double>(all).count() / seconds << "\n";
}

void Measure(std::uint32_t workers) {
  costs measured;
  bool measuring = false;
  std::uint32_t leader = 0;
  tests::platform_simulation simulation(
      {.entries = 3,
       .workers = workers,
       .workers_per_rack = 8,
       .on_reduced = [&](std::uint32_t entry, const work::event& event,
                         std::chrono::nanoseconds took) {
         if (!measuring || entry != leader)
           return;
         event_cost& cost = measured[EventKind(event)];
         cost.count += 1;
         cost.total += took;
         cost.max = std::max(cost.max, took);
       }});
  simulation.RunFor(kWarmUp);
  leader = simulation.Leader().value_or(0);
  measuring = true;
  load_generator load(simulation, workers / 350.0);
  for (std::uint32_t step = 0; step < kSteps; ++step) {
    load.SubmitStep(step >= kPeakFirstStep && step < kPeakEndStep ? 4.0 : 1.0);
    simulation.RunFor(kStep);
  }
  PrintCosts(workers, measured,
             kSteps * std::chrono::duration<double>(kStep).count());
}

}  // namespace

}  // namespace parsleyhitch::bench

int main(int argc, char** argv) {
  std::vector<std::string> sizes(argv + 1, argv + argc);
  if (sizes.empty())
    sizes = {"48", "350", "1000"};
  for (const std::string& size : sizes)
    parsleyhitch::bench::Measure(static_cast<std::uint32_t>(std::stoul(size)));
  return 0;
}
