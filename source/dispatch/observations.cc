// Observations of a later attempt replace those of the one before.

#include "dispatch/observations.h"

#include <utility>

namespace parsleyhitch::dispatch {

observations ObserveTask(observations before,
                         const work::worker_id& worker,
                         const work::running_task& task,
                         model::duration estimate,
                         model::timestamp at) {
  const task_observation* known = before.tasks.Find(task.task);
  const bool same_run = known != nullptr && known->worker == worker &&
                        known->attempt == task.attempt;
  task_observation next =
      same_run
          ? *known
          : task_observation{.worker = worker,
                             .attempt = task.attempt,
                             .progress = {.started = at, .estimate = estimate}};
  next.progress =
      policy::WithSample(next.progress, {.at = at, .percent = task.percent});
  before.tasks.Put(task.task, std::move(next));
  return before;
}

observations ForgetTask(observations before, const work::task_id& task) {
  before.tasks.Erase(task);
  return before;
}

}  // namespace parsleyhitch::dispatch
