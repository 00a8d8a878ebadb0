// How fast a worker is, learned from the progress of the tasks that run there.
// One task shows little: its run time is estimated badly, and a few tasks run
// several times as long as estimated. A speed is therefore a decaying robust
// mean over many tasks, relative to their estimates and to the other tasks of
// the same steps.

#ifndef PARSLEYHITCH_POLICY_WORKER_SPEED_H_
#define PARSLEYHITCH_POLICY_WORKER_SPEED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "model/value_table.h"
#include "policy/expected_end.h"
#include "work/worker.h"

namespace parsleyhitch::policy {

// A decaying mean of the natural logarithm of a speed.
struct speed_estimate {
  double mean = 0;
  // How many tasks the mean stands for.
  double weight = 0;
  timestamp at;

  bool operator==(const speed_estimate&) const = default;
};

// The same with its weight decayed to `now`.
speed_estimate Aged(speed_estimate before, timestamp now);
// With a sample added. The weight is bounded, so that older samples fade.
speed_estimate WithSpeed(speed_estimate before,
                         double log_speed,
                         double weight,
                         timestamp now);

struct worker_speed {
  // The worker's process that was observed.
  std::uint64_t life = 0;
  speed_estimate estimate;

  bool operator==(const worker_speed&) const = default;
};

// What is learned of the workers, and of the steps whose tasks they run.
struct learned_speeds {
  model::value_table<work::worker_id, worker_speed> workers;
  // The pace of each step's tasks relative to their estimate, by the step's
  // unit of index 0.
  model::value_table<work::unit_id, speed_estimate> steps;

  bool operator==(const learned_speeds&) const = default;
};

// The progress of one task that has not been counted for a speed yet.
struct pace_window {
  progress_sample start;
  // The latest sample that showed more progress than the one before, or else
  // the first one.
  progress_sample progressed;
  // The latest sample.
  timestamp seen_at;
  // How much of a task has been counted, at most 1.
  double counted = 0;

  bool operator==(const pace_window&) const = default;
};

struct pace_sample {
  double log_speed = 0;
  double weight = 0;

  bool operator==(const pace_sample&) const = default;
};

struct pace_step {
  pace_window window;
  // Set when the window was long enough for a sample.
  std::optional<pace_sample> sample;

  bool operator==(const pace_step&) const = default;
};

pace_window FirstWindow(const progress_sample& sample);
// After a further sample of a task that is expected to run for `expected`.
pace_step Advance(pace_window before,
                  const progress_sample& sample,
                  duration expected);

// After a sample of a task of the step on the worker. The worker's speed is
// what the pace of the step does not explain, and the other way round.
learned_speeds Learn(learned_speeds before,
                     const work::worker_id& worker,
                     std::uint64_t life,
                     const work::unit_id& step,
                     const pace_sample& sample,
                     timestamp now);

// Without workers and steps of which nothing is known any more.
learned_speeds Pruned(learned_speeds before, timestamp now);

// A worker's speed relative to its service.
struct relative_speed {
  // Run time on it, in thousandths of that on a usual worker; drawn towards
  // 1000 while there is little evidence.
  std::uint32_t run_time_permille = 1000;
  // Far slower than usual, with confidence.
  bool slow = false;

  bool operator==(const relative_speed&) const = default;
};

// The known workers of one service by their speed relative to the median of
// them. Empty while too few are known: what they have in common may be the
// callers' estimates.
std::map<work::worker_id, relative_speed> RelativeSpeeds(
    const learned_speeds& learned,
    const std::map<work::worker_id, std::uint64_t>& lives,
    timestamp now);

// True if the task has stood still for longer than even a slow straggler takes
// for one percent.
bool StandsStill(const pace_window& window, duration expected);

// The tasks of one worker of which progress is expected.
struct task_counts {
  std::uint32_t tasks = 0;
  std::uint32_t standing_still = 0;

  bool operator==(const task_counts&) const = default;
};

// The workers of one service that hang: all their tasks stand still while those
// of most other workers progress. None when most stand still, which is then a
// matter of how progress is shown rather than of the workers.
std::vector<work::worker_id> HungWorkers(
    const std::map<work::worker_id, task_counts>& workers);

// A unit on a worker that is slow or hangs.
struct run_on_slow_worker {
  // How much longer it is expected to take where it is.
  duration remaining{0};
  // Run time, stop and restart included, until it ends on a usual worker.
  duration elsewhere{0};
  // Until its job misses its objective; negative once it has.
  duration until_late{0};

  bool operator==(const run_on_slow_worker&) const = default;
};

// True if it ends earlier elsewhere by a wide margin, or only there in time.
bool IsWorthMoving(const run_on_slow_worker& run);

// How long a task that stands still is expected to need: as long as it has
// stood still, and then what is left of its work.
duration RemainingOfStalled(const pace_window& window, duration expected);

}  // namespace parsleyhitch::policy

#endif  // PARSLEYHITCH_POLICY_WORKER_SPEED_H_
