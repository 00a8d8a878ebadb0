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

observations ObservePace(observations before,
                         const work::running_task& task,
                         task_pace seen,
                         std::uint64_t life,
                         const work::unit_id& step,
                         model::timestamp at) {
  const policy::progress_sample sample{.at = at, .percent = task.percent};
  const task_pace* known = before.paces.Find(task.task);
  const bool same_run = known != nullptr && known->worker == seen.worker &&
                        known->attempt == seen.attempt;
  if (!same_run) {
    seen.window = policy::FirstWindow(sample);
    before.paces.Put(task.task, std::move(seen));
    return before;
  }
  const policy::pace_step next =
      policy::Advance(known->window, sample, seen.expected);
  if (next.sample && seen.shows_speed) {
    before.speeds = policy::Learn(std::move(before.speeds), seen.worker, life,
                                  step, *next.sample, at);
  }
  seen.window = next.window;
  before.paces.Put(task.task, std::move(seen));
  return before;
}

observations ForgetTask(observations before, const work::task_id& task) {
  before.tasks.Erase(task);
  before.paces.Erase(task);
  return before;
}

}  // namespace parsleyhitch::dispatch
