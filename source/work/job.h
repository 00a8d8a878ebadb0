// Jobs as callers hand them in: steps of tasks, what each task needs, and when
// the steps are due.

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
using model::job_id;
using model::rack_id;
using model::service_id;
using model::timestamp;
using model::worker_id;
using model::workspace_id;
using queue_id = model::identifier<struct queue_tag>;

struct step_spec {
  const std::uint32_t tasks = 0;
  // What each task needs.
  const resources need;
  // The caller's guess; often far off.
  const duration estimate{0};
  // Indexes of earlier steps that must be done first.
  const std::vector<std::uint32_t> after{};
  // The tasks work only together.
  const bool gang = false;
  // Tasks on more than one rack take several times as long.
  const bool same_rack = false;
  const bool checkpointed = false;
  const bool duplicates_allowed = false;
  // Runs until the job is cancelled and is restarted however it ends.
  const bool endless = false;
  // The processors are taken from what other tasks leave unused.
  const bool fills_idle = false;
  // A label that the worker must have; empty for none.
  const std::string required_label;
  // Where the data is; elsewhere a task takes several times as long.
  const rack_id data_rack;
  // Most tasks of the step on one worker; 0 for no bound.
  const std::uint32_t max_per_worker = 0;
  // Of an endless step, how many tasks may be away by the scheduler's doing.
  const std::uint32_t may_be_away = 0;

  bool operator==(const step_spec&) const = default;
};

// Occurrence K is due at first_due + K * interval. No occurrences: the steps
// run once, at once.
struct schedule {
  const timestamp first_due;
  const duration interval{0};
  const std::uint32_t occurrences = 0;

  bool operator==(const schedule&) const = default;
};

// What a caller asks for, before it is known which queue takes it.
struct job_request {
  const std::string spec;
  const std::vector<step_spec> steps{};
  const schedule when{};

  bool operator==(const job_request&) const = default;
};

// An accepted job with what its queue said when it was accepted.
struct submission {
  const job_id job;
  const queue_id queue;
  const service_id service;
  const workspace_id owner;
  // 0 goes first.
  const std::uint32_t priority = 0;
  // Failed attempts of a task or gang after which the job has failed.
  const std::uint32_t max_attempts = 1;
  // The objective is `stretch_permille` thousandths of the longest chain of
  // work plus `target_latency`.
  const std::uint32_t stretch_permille = 1000;
  const duration target_latency{0};
  const timestamp submitted_at;
  const job_request request{};

  bool operator==(const submission&) const = default;
};

enum class job_phase { kQueued, kRunning, kCompleted, kFailed, kCancelled };

// True when nothing more will run.
inline bool IsClosed(job_phase phase) {
  return phase != job_phase::kQueued && phase != job_phase::kRunning;
}

// What is placed as a whole: one task, or all tasks of a gang. `index` is that
// of its first task.
struct unit_id {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const unit_id&) const = default;
};

// One task by its name.
struct task_id {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  std::uint32_t index = 0;

  auto operator<=>(const task_id&) const = default;
};

// How far a unit is, as it is kept in the store.
struct unit_progress {
  const std::uint32_t occurrence = 0;
  const std::uint32_t step = 0;
  const std::uint32_t index = 0;
  const bool done = false;
  const std::uint32_t failures = 0;
  // Highest attempt ever ordered, and whether its failure is counted.
  const std::uint64_t attempt = 0;
  const bool attempt_failed = false;
  // Where the next attempt resumes; empty for the beginning.
  const std::string checkpoint;
  // The workers of the attempt under way, one a task; empty when none is.
  const std::vector<worker_id> workers{};

  bool operator==(const unit_progress&) const = default;
};

}  // namespace parsleyhitch::work

#endif  // PARSLEYHITCH_WORK_JOB_H_
