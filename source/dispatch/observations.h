// What the leader learns from the workers' listings beyond the state of its
// orders. It is lost with the leader; a successor starts from the estimates.

#ifndef PARSLEYHITCH_DISPATCH_OBSERVATIONS_H_
#define PARSLEYHITCH_DISPATCH_OBSERVATIONS_H_

#include <cstdint>

#include "model/value_table.h"
#include "policy/expected_end.h"
#include "policy/interference.h"
#include "work/worker.h"

namespace parsleyhitch::dispatch {

// The progress of one attempt of a task.
struct task_observation {
  work::worker_id worker;
  std::uint64_t attempt = 0;
  policy::run_progress progress;

  bool operator==(const task_observation&) const = default;
};

struct observations {
  // Tasks that run, as far as they were listed.
  model::value_table<work::task_id, task_observation> tasks;
  // A successor knows no pair.
  policy::interference interference;

  bool operator==(const observations&) const = default;
};

// After a listing of the worker that shows the task.
observations ObserveTask(observations before,
                         const work::worker_id& worker,
                         const work::running_task& task,
                         model::duration estimate,
                         model::timestamp at);

// After the task has ended, however it did.
observations ForgetTask(observations before, const work::task_id& task);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_OBSERVATIONS_H_
