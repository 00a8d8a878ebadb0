// Fixture: a simulated platform with an elected leader.

#ifndef PARSLEYHITCH_TESTS_DISPATCH_SIMULATION_FIXTURE_H_
#define PARSLEYHITCH_TESTS_DISPATCH_SIMULATION_FIXTURE_H_

#include <criterion/criterion.h>

#include <sstream>
#include <string>
#include <vector>

#include "support/platform_simulation.h"

namespace parsleyhitch::tests {

inline constexpr char kJob[] = "00000000000000a1";
inline constexpr char kOtherJob[] = "00000000000000b2";
inline constexpr work::duration kElectionTime{2500};
inline constexpr work::duration kTakeoverTime{4000};
inline constexpr work::duration kDefaultTimeout{40000};

inline work::step_spec Step(std::uint32_t tasks,
                            std::int64_t accelerators,
                            bool gang = false,
                            std::vector<std::uint32_t> after = {}) {
  return {.tasks = tasks,
          .need = {.cpu_millis = 1000,
                   .memory_mb = 1024,
                   .accelerators = accelerators},
          .estimate = work::duration(1000),
          .after = std::move(after),
          .gang = gang};
}

struct simulation_fixture {
  explicit simulation_fixture(const simulation_options& options = {})
      : simulation(options) {
    simulation.RunFor(kElectionTime);
  }

  std::uint32_t Leader() const { return simulation.Leader().value(); }
  std::uint32_t Follower() const { return Leader() == 0 ? 1 : 0; }

  bool Ends(const std::string& job,
            work::job_phase phase,
            work::duration within = kDefaultTimeout) {
    return simulation.RunUntil([&] { return simulation.PhaseOf(job) == phase; },
                               within);
  }

  // Runs until a task of the job runs.
  bool Runs(const std::string& job, work::duration within) {
    return simulation.RunUntil([&] { return IsRunning(job); }, within);
  }

  // Runs until another entry leads and has restored its jobs.
  void AwaitSuccessorOf(std::uint32_t former) {
    cr_assert(simulation.RunUntil(
        [&] {
          const auto leader = simulation.Leader();
          return leader && *leader != former &&
                 simulation.entry(*leader).state.leader.restored;
        },
        kTakeoverTime));
  }

  // The first violated invariant, or empty.
  std::string Violation() const {
    return simulation.breaches().empty() ? std::string()
                                         : simulation.breaches().front();
  }

  // The log lines of all entries with the given event.
  std::vector<std::string> LinesOf(const std::string& decision) const {
    std::istringstream text(simulation.LogOf(decision));
    std::vector<std::string> lines;
    for (std::string line; std::getline(text, line);)
      lines.push_back(line);
    return lines;
  }

  bool IsRunning(const std::string& job) {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      for (const auto& [task, run] : simulation.worker(i).running()) {
        if (task.job.value() == job)
          return true;
      }
    }
    return false;
  }

  // A worker that runs a task of the job.
  simulated_worker& WorkerOf(const std::string& job) {
    for (std::uint32_t i = 0; i < simulation.worker_count(); ++i) {
      for (const auto& [task, run] : simulation.worker(i).running()) {
        if (task.job.value() == job)
          return simulation.worker(i);
      }
    }
    cr_assert_fail("no worker runs the job");
    return simulation.worker(0);
  }

  platform_simulation simulation;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_DISPATCH_SIMULATION_FIXTURE_H_
