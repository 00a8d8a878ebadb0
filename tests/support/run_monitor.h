// Observes the task runs of simulated workers and records breaches of the
// platform's rules.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_RUN_MONITOR_H_
#define PARSLEYHITCH_TESTS_SUPPORT_RUN_MONITOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/simulated_worker.h"

namespace parsleyhitch::tests {

// Callbacks through which the monitor obtains a task's step and run time, the
// current time, and whether a job may run.
struct monitor_hooks {
  std::function<work::step_spec(const work::task_id&)> spec_of;
  std::function<work::duration(const work::task_id&)> duration_of;
  std::function<work::duration()> now;
  // Returns false for a job all of whose submissions were refused.
  std::function<bool(const std::string& job)> may_run = [](const std::string&) {
    return true;
  };
};

class run_monitor {
 public:
  // The vector must outlive the monitor. Its elements must keep their addresses
  // once they are watched.
  run_monitor(std::vector<simulated_worker>& workers, monitor_hooks hooks)
      : workers_(workers), hooks_(std::move(hooks)) {}

  // Sets the worker's callbacks. From then on its runs are checked, and the
  // members of its gangs are coordinated with those on other watched workers.
  void Watch(simulated_worker& worker);

  // Descriptions of the breaches, oldest first.
  const std::vector<std::string>& breaches() const { return breaches_; }
  std::uint64_t starts() const { return starts_; }
  // How many runs of each task have failed, or of each gang as a whole.
  const std::map<work::unit_id, std::uint32_t>& failures() const {
    return failures_;
  }

 private:
  bool IsGangPresent(const work::task_id& task, std::uint64_t attempt) const;
  void OnStarted(const work::task_id& task);
  void OnEnded(const work::task_id& task, work::run_end_kind how);
  // Ends the other members of the task's gang: as done if the task is done, and
  // as broken otherwise.
  void EndGang(const work::task_id& task, work::run_end_kind how);
  void OnEndAcknowledged(const work::task_id& task, work::duration ended_at);

  std::vector<simulated_worker>& workers_;
  const monitor_hooks hooks_;
  std::map<work::task_id, std::uint32_t> running_;
  std::set<work::task_id> done_tasks_;
  // Tasks whose successful end was acknowledged by an entry.
  std::set<work::task_id> acknowledged_;
  // The latest start of each task.
  std::map<work::task_id, work::duration> started_at_;
  std::map<work::unit_id, std::uint32_t> failures_;
  std::uint64_t starts_ = 0;
  std::vector<std::string> breaches_;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_RUN_MONITOR_H_
