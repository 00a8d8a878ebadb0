// Watches what workers run and notes what the platform's rules forbid.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_RUN_MONITOR_H_
#define PARSLEYHITCH_TESTS_SUPPORT_RUN_MONITOR_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "support/stage_worker.h"

namespace parsleyhitch::tests {

// What the monitor asks its owner.
struct monitor_hooks {
  std::function<work::step_spec(const work::task_id&)> spec_of;
  std::function<work::duration(const work::task_id&)> work_of;
  std::function<work::duration()> now;
  // False for a job all of whose submissions were refused.
  std::function<bool(const std::string& job)> may_run = [](const std::string&) {
    return true;
  };
};

class run_monitor {
 public:
  // The workers must outlive the monitor and stay where they are.
  run_monitor(std::vector<stage_worker>& workers, monitor_hooks hooks)
      : workers_(workers), hooks_(std::move(hooks)) {}

  // From now on the worker's runs are watched, and its gangs find each other.
  void ListenTo(stage_worker& worker);

  // Breaches in words, the first one first.
  const std::vector<std::string>& breaches() const { return breaches_; }
  std::uint64_t starts() const { return starts_; }

 private:
  bool IsGangPresent(const work::task_id& task, std::uint64_t attempt) const;
  void OnStarted(const work::task_id& task);
  void OnEnded(const work::task_id& task, work::run_end_kind how);
  // The members of a gang end together.
  void EndGangOf(const work::task_id& task, work::run_end_kind how);
  void OnNoted(const work::task_id& task, work::duration ended_at);

  std::vector<stage_worker>& workers_;
  const monitor_hooks hooks_;
  std::map<work::task_id, std::uint32_t> running_;
  std::set<work::task_id> done_;
  // Tasks whose end as done was taken note of, and when each last started.
  std::set<work::task_id> noted_;
  std::map<work::task_id, work::duration> started_at_;
  std::uint64_t starts_ = 0;
  std::vector<std::string> breaches_;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_RUN_MONITOR_H_
