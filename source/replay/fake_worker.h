// In-memory model of a platform worker. It holds, runs, checkpoints and stops
// tasks under leases, rejects syncs older than one it has already accepted, and
// can be set to misbehave. Used by the replay simulation and by the tests'
// stand-in processes.

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
  // When a running task will finish.
  const model::timestamp ends;
  bool operator==(const fake_task&) const = default;
};

// One state change of a task, recorded for later checks.
struct task_change {
  const model::job_id job;
  const model::fence token = 0;
  const model::task_state state = model::task_state::kHeld;
  const model::timestamp at;
  // True if the task was stopped after saving its work.
  const bool checkpointed = false;
  bool operator==(const task_change&) const = default;
};

struct fake_worker {
  std::uint32_t accelerators = 0;
  // Every task fails as soon as it starts.
  bool fails_tasks = false;
  // Checkpoint instructions have no effect.
  bool ignores_checkpoints = false;
  bool leaving = false;
  // `as_of` of the newest sync accepted; older syncs are rejected.
  std::uint64_t highest_as_of = 0;
  model::value_table<model::job_id, fake_task> tasks;
  std::vector<task_change> journal;
};

// Returns how long a task of the given job runs.
using run_time_lookup = std::function<model::duration(const model::job_id&)>;

struct fake_sync_result {
  fake_worker worker;
  model::worker_report report;
};

// Stops the tasks whose lease has expired by `now` and finishes those whose run
// time has elapsed.
fake_worker Advance(fake_worker worker, model::timestamp now);

// Applies one sync: tasks it does not list are stopped, listed ones are renewed
// for the lease and follow their instruction.
fake_sync_result Sync(fake_worker worker,
                      const model::worker_sync& sync,
                      model::timestamp now,
                      const run_time_lookup& run_time);

}  // namespace parsleyhitch::replay

#endif  // PARSLEYHITCH_REPLAY_FAKE_WORKER_H_
