// A worker as the platform gives it, in memory: it holds, runs, checkpoints and
// stops tasks under leases, refuses syncs that are fenced off, and can be told
// to misbehave. Replays and the stand-in processes of the tests share it.

#ifndef PARSLEYHITCH_REPLAY_FAKE_WORKER_H_
#define PARSLEYHITCH_REPLAY_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "model/fleet.h"
#include "model/message.h"
#include "model/value_table.h"

namespace parsleyhitch::replay {

struct fake_task {
  const model::fence token = 0;
  const std::uint32_t accelerators = 0;
  const model::task_state state = model::task_state::kHeld;
  const model::timestamp lease_until;
  // End of a running task.
  const model::timestamp ends;
  bool operator==(const fake_task&) const = default;
};

// One change of a task, for checks afterwards.
struct task_entry {
  const model::job_id job;
  const model::fence token = 0;
  const model::task_state state = model::task_state::kHeld;
  const model::timestamp at;
  // The task was stopped with its work saved.
  const bool checkpointed = false;
  bool operator==(const task_entry&) const = default;
};

struct fake_worker {
  std::uint32_t accelerators = 0;
  // Fails every task it starts.
  bool fails_tasks = false;
  bool ignores_checkpoints = false;
  bool leaving = false;
  std::uint64_t highest_as_of = 0;
  model::value_table<model::job_id, fake_task> tasks;
  std::vector<task_entry> journal;
};

// How long a task of the job runs.
using run_time_of = std::function<model::duration(const model::job_id&)>;

struct fake_sync {
  fake_worker worker;
  model::worker_report report;
};

// Stops what has lapsed and ends what has finished by `now`.
fake_worker Advance(fake_worker worker, model::timestamp now);

fake_sync Sync(fake_worker worker,
               const model::worker_sync& sync,
               model::timestamp now,
               const run_time_of& run_time);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_FAKE_WORKER_H_
