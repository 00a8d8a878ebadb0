// What the leader's reducer costs at a number of workers, by kind of event: the
// stage plays a load in proportion to the fleet, with a crest in the middle.
// Processor time for a simulated second is what one core's share must bear.

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
constexpr std::uint32_t kCrestFrom = 40;
constexpr std::uint32_t kCrestTo = 80;

// One kind of request of the users' sheets, for each 350 workers.
struct load_kind {
  const char* queue;
  double jobs_per_second;
  std::uint32_t tasks;
  bool gang;
  std::int64_t most_accelerators;
};

constexpr load_kind kKinds[] = {
    {"urgent", 12.0, 5, true, 8},
    {"normal", 4.0, 10, false, 8},
    {"background", 5.0, 30, false, 1},
};

struct event_cost {
  std::uint64_t count = 0;
  std::chrono::nanoseconds total{0};
  std::chrono::nanoseconds most{0};
};

using costs = std::map<std::string, event_cost>;

const char* KindOf(const work::event& event) {
  static const char* const names[] = {
      "entry_started", "wake_due",          "feed_read",       "newest_read",
      "feed_unread",   "append_answered",   "start_answered",  "stop_answered",
      "hold_answered", "peer_heard",        "catalog_relayed", "client_called",
      "client_gone",   "shutdown_requested"};
  return names[event.index()];
}

class load_source {
 public:
  load_source(tests::platform_simulation& stage, double scale)
      : stage_(stage), scale_(scale) {}

  // Hands in what comes within one step.
  void Advance(double surge) {
    for (const load_kind& kind : kKinds) {
      owed_[kind.queue] += kind.jobs_per_second * scale_ * surge *
                           std::chrono::duration<double>(kStep).count();
      while (owed_[kind.queue] >= 1.0) {
        owed_[kind.queue] -= 1.0;
        SubmitOne(kind);
      }
    }
  }

 private:
  void SubmitOne(const load_kind& kind) {
    const std::int64_t accelerators =
        1 + static_cast<std::int64_t>(
                random_() % static_cast<std::uint64_t>(kind.most_accelerators));
    std::string id = std::to_string(++last_job_);
    id.insert(0, 16 - id.size(), '0');
    stage_.Submit(0, id,
                  {{.tasks = kind.tasks,
                    .need = {.cpu_millis = 1000 * accelerators,
                             .memory_mb = 1024,
                             .accelerators = accelerators},
                    .estimate = work::duration(1000),
                    .gang = kind.gang}},
                  kind.queue);
  }

  tests::platform_simulation& stage_;
  const double scale_;
  std::mt19937_64 random_{1};
  std::map<std::string, double> owed_;
  std::uint64_t last_job_ = 0;
};

void Print(std::uint32_t workers, const costs& measured, double seconds) {
  std::chrono::nanoseconds all{0};
  for (const auto& [kind, cost] : measured) {
    all += cost.total;
    const double mean = static_cast<double>(cost.total.count()) / 1000.0 /
                        static_cast<double>(cost.count);
    std::cout << std::setw(6) << workers << std::setw(18) << kind
              << std::setw(9) << cost.count << std::setw(11) << std::fixed
              << std::setprecision(1) << mean << " us mean" << std::setw(11)
              << static_cast<double>(cost.most.count()) / 1e6 << " ms most\n";
  }
  std::cout << std::setw(6) << workers
            << "  processor time a second: " << std::setprecision(4)
            << std::chrono::duration<double>(all).count() / seconds << "\n";
}

void Measure(std::uint32_t workers) {
  costs measured;
  bool counting = false;
  std::uint32_t leader = 0;
  tests::platform_simulation stage(
      {.entries = 3,
       .workers = workers,
       .workers_per_rack = 8,
       .on_reduced = [&](std::uint32_t entry, const work::event& event,
                         std::chrono::nanoseconds took) {
         if (!counting || entry != leader)
           return;
         event_cost& cost = measured[KindOf(event)];
         cost.count += 1;
         cost.total += took;
         cost.most = std::max(cost.most, took);
       }});
  stage.RunFor(kWarmUp);
  leader = stage.Leader().value_or(0);
  counting = true;
  load_source load(stage, workers / 350.0);
  for (std::uint32_t step = 0; step < kSteps; ++step) {
    load.Advance(step >= kCrestFrom && step < kCrestTo ? 4.0 : 1.0);
    stage.RunFor(kStep);
  }
  Print(workers, measured,
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
