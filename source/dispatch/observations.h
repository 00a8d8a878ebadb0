// What the leader learns from the workers' listings beyond the state of its
// orders. It is lost with the leader; a successor starts from the estimates.

#ifndef PARSLEYHITCH_DISPATCH_OBSERVATIONS_H_
#define PARSLEYHITCH_DISPATCH_OBSERVATIONS_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "model/value_table.h"
#include "policy/expected_end.h"
#include "policy/interference.h"
#include "policy/reservation.h"
#include "policy/worker_speed.h"
#include "work/worker.h"

namespace parsleyhitch::dispatch {

// The progress of one attempt of a task.
struct task_observation {
  work::worker_id worker;
  std::uint64_t attempt = 0;
  policy::run_progress progress;

  bool operator==(const task_observation&) const = default;
};

// A unit that waits for room that is expected to come free.
struct room_wait {
  model::timestamp since;
  model::timestamp expected_at;
  // Others were stopped for it after all, and it waits for their ends.
  bool after_stop = false;

  bool operator==(const room_wait&) const = default;
};

// The pace of one attempt of a task.
struct task_pace {
  work::worker_id worker;
  std::uint64_t attempt = 0;
  model::duration expected{0};
  // False when something else than the worker may set the pace.
  bool shows_speed = false;
  policy::pace_window window;

  bool operator==(const task_pace&) const = default;
};

// What the observed paces say of one process of a worker.
struct worker_judgement {
  std::uint64_t life = 0;
  policy::relative_speed speed;
  // Its tasks stood still; it is avoided until then.
  model::timestamp hung_until;

  bool operator==(const worker_judgement&) const = default;
};

// Resources of a running task, and when it is expected to end.
struct freed_room {
  model::timestamp at;
  work::resources amount;

  bool operator==(const freed_room&) const = default;
};

struct observations {
  // Tasks that run, as far as they were listed.
  model::value_table<work::task_id, task_observation> tasks;
  // As of the latest planning pass.
  std::map<work::unit_id, room_wait> room_waits;
  std::map<work::service_id, policy::urgent_load> urgent_loads;
  // Waiting units that have left room free for urgent ones, and since when.
  std::map<work::unit_id, model::timestamp> held_back;
  // What was left free in the latest planning pass.
  std::map<work::service_id, work::resources> reserves;
  model::value_table<work::task_id, task_pace> paces;
  policy::learned_speeds speeds;
  // Of the workers that are not as usual, as of the latest evaluation.
  std::map<work::worker_id, worker_judgement> judgements;
  model::timestamp next_judgement_at;
  model::timestamp next_move_at;
  // What becomes free on each worker, as of the latest forecast. It is made
  // when a unit needs it.
  std::map<work::worker_id, std::vector<freed_room>> coming_room;
  model::timestamp next_forecast_at;
  // Units that were stopped as their worker is slow or hangs, until they are.
  std::set<work::unit_id> moving;
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

// The same for the pace of the task, which is one of the step of which `step`
// is the unit with index 0. `seen` holds no window yet.
observations ObservePace(observations before,
                         const work::running_task& task,
                         task_pace seen,
                         std::uint64_t life,
                         const work::unit_id& step,
                         model::timestamp at);

// After the task has ended, however it did.
observations ForgetTask(observations before, const work::task_id& task);

}  // namespace parsleyhitch::dispatch

#endif  // PARSLEYHITCH_DISPATCH_OBSERVATIONS_H_
