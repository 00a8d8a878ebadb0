// A small model of the users' platform under a manual clock: the store, the
// workers and several dispatching entries, with failures that a test inflicts.
// What the platform's rules forbid is noted as a breach when it happens.

#ifndef PARSLEYHITCH_TESTS_SUPPORT_PLATFORM_STAGE_H_
#define PARSLEYHITCH_TESTS_SUPPORT_PLATFORM_STAGE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "dispatch/reduce.h"
#include "support/run_monitor.h"
#include "support/stage_store.h"
#include "support/stage_worker.h"

namespace parsleyhitch::tests {

struct stage_options {
  std::uint32_t entries = 3;
  std::uint32_t workers = 6;
  std::uint32_t workers_per_rack = 3;
  std::uint64_t seed = 1;
  // A long call to a worker is answered after so long, though nothing ended.
  work::duration longest_hold{50};
  // What every task takes; by its job and step when 0.
  work::duration task_takes{0};
  dispatch::hooks behaviour = dispatch::DefaultHooks();
  // Told how long an entry took to reduce an event; for measurements.
  std::function<
      void(std::uint32_t entry, const work::event&, std::chrono::nanoseconds)>
      reduced =
          [](std::uint32_t, const work::event&, std::chrono::nanoseconds) {};
};

// What the model lets a test do to an entry.
struct stage_entry {
  std::unique_ptr<dispatch::environment> environment;
  dispatch::state state;
  bool alive = true;
  bool frozen = false;
  bool cut_from_store = false;
  bool cut_from_peers = false;
  bool cut_from_workers = false;
  // Counts lives; answers to an earlier life are dropped.
  std::uint64_t life = 1;
  std::uint64_t wake = 0;
  std::vector<work::event> held;
};

// One call of a caller, and what came of it.
struct stage_call {
  work::client_call content;
  std::optional<work::client_answer> answer;
};

class platform_stage {
 public:
  explicit platform_stage(const stage_options& options);

  work::duration now() const { return now_; }
  void RunFor(work::duration time);
  // Runs until the condition holds; false when it does not within the time.
  bool RunUntil(const std::function<bool()>& condition, work::duration within);

  // Callers. A job of one step unless its steps are given.
  std::uint64_t Submit(std::uint32_t entry,
                       const std::string& job,
                       const std::vector<work::step_spec>& steps,
                       const std::string& queue = "normal");
  std::uint64_t Read(std::uint32_t entry, const std::string& job);
  std::uint64_t Cancel(std::uint32_t entry, const std::string& job);
  const stage_call& CallOf(std::uint64_t call) const { return calls_.at(call); }
  bool IsAnswered(std::uint64_t call, work::answer_kind kind) const;
  // The job's phase by the store's records.
  std::optional<work::job_phase> PhaseOf(const std::string& job) const;

  // Failures.
  void Kill(std::uint32_t entry);
  void Start(std::uint32_t entry);
  void Freeze(std::uint32_t entry);
  void Thaw(std::uint32_t entry);
  // A graceful shutdown, as by a signal.
  void Shutdown(std::uint32_t entry, work::duration grace);
  void Publish(const work::catalog& catalog);
  stage_store& store() { return store_; }
  stage_entry& entry(std::uint32_t index) { return entries_[index]; }
  stage_worker& worker(std::uint32_t index) { return workers_[index]; }
  std::uint32_t worker_count() const {
    return static_cast<std::uint32_t>(workers_.size());
  }
  // The entry that leads, if any.
  std::optional<std::uint32_t> Leader() const;

  // Breaches of the platform's rules, in words.
  const std::vector<std::string>& breaches() const {
    return monitor_.breaches();
  }
  // What the entries logged of the subject, a line each.
  std::string LogOf(const std::string& subject) const;
  std::uint64_t starts() const { return monitor_.starts(); }

 private:
  struct scheduled {
    work::duration at;
    std::uint64_t order;
    std::function<void()> act;
    bool operator>(const scheduled& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };

  void At(work::duration when, std::function<void()> act);
  work::duration Delay();
  work::timestamp Time() const;
  void Post(std::uint32_t entry, std::uint64_t life, work::event event);
  void Perform(std::uint32_t entry, const work::effect& effect);
  void Do(std::uint32_t entry, const work::read_feed& effect);
  void Do(std::uint32_t entry, const work::read_newest& effect);
  void Do(std::uint32_t entry, const work::append_records& effect);
  void Do(std::uint32_t entry, const work::start_run& effect);
  void Do(std::uint32_t entry, const work::stop_run& effect);
  void Do(std::uint32_t entry, const work::hold_worker& effect);
  void Do(std::uint32_t entry, const work::send_to_peer& effect);
  void Do(std::uint32_t entry, const work::answer_client& effect);
  void Do(std::uint32_t entry, const work::wake_at& effect);
  void Do(std::uint32_t entry, const work::write_log& line);
  void Do(std::uint32_t, const work::count_metric&) {}
  void Do(std::uint32_t, const work::observe_latency&) {}
  void Do(std::uint32_t entry, const work::stop_process&);

  stage_worker* FindWorker(const work::worker_id& id);
  void AnswerLater(std::uint32_t entry,
                   work::duration timeout,
                   bool reached,
                   bool answered,
                   std::function<work::event(bool answered)> event);
  std::uint64_t CallAt(std::uint32_t entry,
                       work::call_verb verb,
                       const std::string& job,
                       std::optional<work::job_request> request,
                       const std::string& queue);
  void Beat(std::uint32_t worker);
  void AdvanceWorkers();
  monitor_hooks MonitorHooks();

  work::duration now_{0};
  std::uint64_t order_ = 0;
  std::mt19937_64 random_;
  decltype(stage_options::reduced) reduced_;
  const work::duration longest_hold_;
  const work::duration task_takes_;
  std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> queue_;
  stage_store store_;
  std::vector<stage_entry> entries_;
  std::vector<stage_worker> workers_;
  std::vector<std::uint32_t> missed_beats_;
  std::map<std::string, std::vector<work::step_spec>> steps_;
  std::map<std::uint64_t, stage_call> calls_;
  std::uint64_t last_call_ = 0;
  // Jobs some call of which was not refused.
  std::set<std::string> maybe_accepted_;
  std::set<std::string> handed_in_;
  run_monitor monitor_;
  std::vector<std::string> log_;
};

}  // namespace parsleyhitch::tests

#endif  // PARSLEYHITCH_TESTS_SUPPORT_PLATFORM_STAGE_H_
