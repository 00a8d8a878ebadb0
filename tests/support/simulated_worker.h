// A model of the platform's worker. Tasks run under a lease that is measured on
// the worker's own clock, the members of a gang wait for one another, and ended
// tasks are listed until an entry acknowledges them.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_SIMULATED_WORKER_H_
#define PARSLEYHITCH_TESTS_SUPPORT_SIMULATED_WORKER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "work/effect.h"

namespace parsleyhitch::tests {

struct simulated_run {
  std::uint64_t attempt = 0;
  work::duration started{0};
  // Valid if `working`. A member of a gang works only once all are present.
  work::duration working_since{0};
  bool working = false;
  work::duration stops_at{0};
  bool stopping = false;
  // Milliseconds of work that it is behind one that runs alone on a worker of
  // the usual speed.
  double behind = 0;
};

class simulated_worker {
 public:
  // Set by the test.
  work::worker_id id;
  work::rack_id rack;
  work::failure_domain_id failure_domain;
  work::resources capacity;
  // Incremented at each restart, unless the machine's clock was set back.
  std::uint64_t life = 1;
  bool alive = true;
  // Can't be reached by entries, and sends no heartbeats.
  bool cut = false;
  // Can be reached by entries, but its heartbeats do not reach the store.
  bool cut_from_store = false;
  bool draining = false;
  // While draining: when the worker leaves and all that runs on it is lost.
  std::optional<work::duration> leaves_at;
  // Number of start orders that are carried out but not answered.
  std::uint32_t lose_order_answers = 0;
  // Number of start, stop and hold orders that are not answered and carried out
  // `late_by` after they arrived, after newer ones if need be.
  std::uint32_t late_starts = 0;
  std::uint32_t late_stops = 0;
  std::uint32_t late_holds = 0;
  work::duration late_by{0};
  // It has crashed, and another process answers at its address. Its registry
  // entry goes on being written, as by calls that arrive late.
  bool replaced = false;
  // Start orders are answered with this outcome and not carried out.
  std::optional<work::order_outcome> refuses_starts_with;
  // The same for stops and holds.
  std::optional<work::order_outcome> refuses_stops_with;
  std::optional<work::order_outcome> refuses_holds_with;
  bool fails_all_tasks = false;
  // Of its tasks, relative to their run time; at 0 they stand still.
  double speed = 1.0;
  // After it crashed: when it starts again under its name, if it does.
  std::optional<work::duration> restarts_at;
  // Speed of the worker's clock relative to simulated time.
  double clock_rate = 1.0;

  // Set by the owner: a task's step, its run time, whether all members of its
  // gang are present, and callbacks.
  std::function<work::step_spec(const work::task_id&)> spec_of;
  std::function<work::duration(const work::task_id&)> duration_of;
  std::function<bool(const work::task_id&, std::uint64_t attempt)>
      is_gang_present;
  std::function<void(const work::task_id&)> on_started;
  // How much longer a task takes now, beside the others on the worker, in
  // thousandths.
  std::function<std::uint32_t(const work::task_id&, const simulated_worker&)>
      slowdown_of =
          [](const work::task_id&, const simulated_worker&) { return 1000U; };
  // True for a task that crashes the worker when it starts.
  std::function<bool(const work::task_id&)> is_deadly =
      [](const work::task_id&) { return false; };
  std::function<void(const work::task_id&, work::run_end_kind)> on_ended;
  // Called when a task's successful end is acknowledged before the lease under
  // which it ended has expired.
  std::function<void(const work::task_id&, work::duration ended_at)>
      on_end_acknowledged;
  std::function<void(const std::string&)> on_breach;

  // Returns the time on the worker's clock, which starts at 0 at each restart.
  work::duration Clock(work::duration now) const;
  work::order_outcome Start(const work::start_run& order, work::duration now);
  work::order_outcome Stop(const work::stop_run& order, work::duration now);
  work::order_outcome Hold(const work::hold_worker& order, work::duration now);
  work::worker_listing Listing() const;
  // Returns true if a task ended with a number greater than `after`.
  bool HasEndAfter(std::uint64_t after) const;
  // Advances to `now`: starts complete gangs, and ends tasks that are done,
  // stopped, failed, or whose lease or gang timeout has expired.
  void Advance(work::duration now);
  // Ends all tasks without listing them, as a crash or a power failure does.
  void Crash();
  // Crashes, and another process is started at its address.
  void Replace(work::duration now);
  // Crashes and starts again under the same ID.
  void Restart(work::duration now);
  // The same, on a machine whose clock was set back: the life is an earlier one
  // than any before.
  void RestartWithEarlierLife(work::duration now);
  const std::map<work::task_id, simulated_run>& running() const {
    return running_;
  }
  // End a task because a member of its gang ended: unsuccessfully, or as done.
  void EndWithGang(const work::task_id& task);
  void FinishWithGang(const work::task_id& task);

 private:
  // The time that the task's work would have taken alone.
  void End(const work::task_id& task, work::run_end_kind how);
  // Returns false if a newer token was seen.
  bool AcceptToken(std::uint64_t token);
  work::resources Used() const;
  // How much of its work the task has done.
  work::duration WorkedBy(const simulated_run& run) const;
  // The completed share of the task's work.
  std::uint32_t PercentOf(const work::task_id& task,
                          const simulated_run& run) const;

  std::map<work::task_id, simulated_run> running_;
  // The newest attempt of each task that was stopped or has ended; it and
  // earlier ones may not start again.
  std::map<work::task_id, std::uint64_t> closed_attempts_;
  std::vector<work::ended_task> ended_;
  // The time of each listed end, by its number. Cleared when the lease expires.
  std::map<std::uint64_t, work::duration> ended_at_;
  work::duration advanced_to_{0};
  // The earliest life so far, once the clock was set back.
  std::optional<std::uint64_t> earliest_life_;
  std::uint64_t last_end_number_ = 0;
  std::uint64_t newest_token_ = 0;
  work::duration lease_until_{0};
  work::duration started_at_{0};
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_SIMULATED_WORKER_H_
