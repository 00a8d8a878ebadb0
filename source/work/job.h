// Jobs as callers submit them: steps made of tasks, the resources of each task,
// and the schedule of the steps.

#ifndef PARSLEYHITCH_WORK_JOB_H_
#define PARSLEYHITCH_WORK_JOB_H_

#include <cstdint>
#include <string>
#include <vector>

#include "model/identifier.h"
#include "model/time.h"
#include "work/resources.h"

namespace parsleyhitch::work {

using model::duration;
using model::failure_domain_id;
using model::job_id;
using model::rack_id;
using model::service_id;
using model::timestamp;
using model::worker_id;
using model::workspace_id;
using queue_id = model::identifier<struct queue_tag>;

struct step_spec {
  const std::uint32_t tasks = 0;
  // Resources of each task.
  const resources need;
  // Run time estimated by the caller; often far off.
  const duration estimate{0};
  // Indexes of earlier steps that this one depends on.
  const std::vector<std::uint32_t> after{};
  // The tasks must run all at once or not at all.
  const bool gang = false;
  // The step takes several times as long when its tasks span racks.
  const bool same_rack = false;
  const bool checkpointed = false;
  const bool duplicates_allowed = false;
  // Runs until the job is cancelled; a task is restarted however it ends.
  const bool endless = false;
  // Uses only processor time that other tasks leave idle.
  const bool fills_idle = false;
  // Label that the worker must have; empty for none.
  const std::string required_label;
  // Rack of the input data, empty for none; on another rack a task takes
  // several times as long.
  const rack_id data_rack;
  // Upper bound on tasks of the step on one worker; 0 for none.
  const std::uint32_t max_per_worker = 0;
  // For an endless step: how many tasks the scheduler may keep stopped at a
  // time.
  const std::uint32_t may_be_away = 0;
  // What the tasks run; tasks of one image behave alike. Empty if not given.
  const std::string image{};

  bool operator==(const step_spec&) const = default;
};

// The resources that one task reserves; no CPU for steps that fill idle CPU.
inline resources NeedOf(const step_spec& step) {
  if (!step.fills_idle)
    return step.need;
  return {.memory_mb = step.need.memory_mb,
          .accelerators = step.need.accelerators};
}

// Occurrence K is due at first_due + K * interval. With `occurrences` 0 the
// steps run once, immediately.
struct schedule {
  const timestamp first_due;
  const duration interval{0};
  const std::uint32_t occurrences = 0;

  bool operator==(const schedule&) const = default;
};

// A job as requested, before it is matched to a queue.
struct job_request {
  const std::string spec;
  const std::vector<step_spec> steps{};
  const schedule when{};

  bool operator==(const job_request&) const = default;
};

// An accepted job with the settings of its queue at the time of acceptance.
struct submission {
  const job_id job;
  const queue_id queue;
  const service_id service;
  const workspace_id owner;
  // 0 is the most important.
  const std::uint32_t priority = 0;
  // The job fails after this many failed attempts of one task or gang.
  const std::uint32_t max_attempts = 1;
  // The latency objective is `stretch_permille` thousandths of the critical
  // path plus `target_latency`.
  const std::uint32_t stretch_permille = 1000;
  const duration target_latency{0};
  const timestamp submitted_at;
  const job_request request{};

  bool operator==(const submission&) const = default;
};

enum class job_phase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// True when no task of the job will run any more.
inline bool IsClosed(job_phase phase) {
  return phase != job_phase::kQueued && phase != job_phase::kRunning;
}

// The unit of placement: one task, or all tasks of a gang. `index` is that of
// the first task.
struct unit_id {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const unit_id&) const = default;
};

// Identifies one task.
struct task_id {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const task_id&) const = default;
};

// An attempt that was lost with a worker.
struct lost_attempt {
  const std::uint64_t attempt = 0;
  const worker_id worker;
  // The worker's process with which it was lost.
  const std::uint64_t life = 0;
  // Its start may have crashed the worker.
  const bool at_start = false;

  bool operator==(const lost_attempt&) const = default;
};

// Progress of a unit as kept in the store.
struct unit_progress {
  const std::uint32_t occurrence = 0;
  const std::uint32_t step = 0;
  const std::uint32_t index = 0;
  const bool done = false;
  // The size of `failed_attempts`, for versions that do not read these.
  const std::uint32_t failures = 0;
  // Number of the attempt that runs, or else the highest that is known to have
  // been ordered, and whether it has failed.
  const std::uint64_t attempt = 0;
  const bool attempt_failed = false;
  // Checkpoint from which the next attempt resumes; empty to start over.
  const std::string checkpoint;
  // Workers of the running attempt, one per task; empty when none is running.
  const std::vector<worker_id> workers{};
  // How many attempts were lost with a worker, as far as they still count: of
  // those whose start may have crashed it, and of the others.
  const std::uint32_t losses = 0;
  const std::uint32_t later_losses = 0;
  // Numbers of the attempts that ended as failed, in ascending order. Fewer
  // than `failures` in a record of a version that did not store them.
  const std::vector<std::uint64_t> failed_attempts{};
  // The lost attempts, in ascending order. Fewer than `losses` and
  // `later_losses` in a record of a version that did not store them.
  const std::vector<lost_attempt> lost_attempts{};

  bool operator==(const unit_progress&) const = default;
};

// The unit that the progress belongs to.
inline unit_id UnitOf(const job_id& job, const unit_progress& progress) {
  return {.job = job,
          .occurrence = progress.occurrence,
          .step = progress.step,
          .index = progress.index};
}

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_JOB_H_
